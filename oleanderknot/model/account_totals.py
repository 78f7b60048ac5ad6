"""Aggregate of account batches."""

import collections
import dataclasses

from oleanderknot.model import decision_key
from oleanderknot.model import event
from oleanderknot.model import report_coverage


@dataclasses.dataclass(slots=True, kw_only=True)
class AccountTotals:
    """Aggregate of the account batches in a time range.

    Attributes:
        since: Wall-clock start of the requested range in seconds since 1970
            (UTC).
        until: Wall-clock end of the range.
        counts: Number of decisions by key.
        events: Events in order of time, without duplicates.
        nodes: Which reports were found, for each incarnation of a node.
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
