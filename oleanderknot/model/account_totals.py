"""Sum of many batches of the account."""

import collections
import dataclasses

from oleanderknot.model import decision_key
from oleanderknot.model import event
from oleanderknot.model import report_coverage


@dataclasses.dataclass(slots=True, kw_only=True)
class AccountTotals:
    """What the batches of a time say together.

    Attributes:
        since: Wall-clock start of the time asked for, in seconds since 1970.
        until: Wall-clock end of it.
        counts: Number of decisions by kind.
        events: What happened, in order, each thing once.
        nodes: Reports found, for each life of a node.
        unreadable: Objects that could not be read.
    """

    since: float
    until: float
    counts: collections.Counter[decision_key.DecisionKey] = dataclasses.field(
        default_factory=collections.Counter
    )
    events: list[event.Event] = dataclasses.field(default_factory=list)
    nodes: list[report_coverage.ReportCoverage] = dataclasses.field(
        default_factory=list
    )
    unreadable: int = 0
