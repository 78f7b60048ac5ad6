"""Part of the account of decisions."""

import collections.abc
import dataclasses

from oleanderknot.model import decision_key
from oleanderknot.model import event


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AccountBatch:
    """What one node decided and saw in one period.

    Attributes:
        instance: Name of the node's instance.
        incarnation: Life of the node.
        data_centre: Data centre of the instance.
        sequence: Number of the batch in this life, from 1.
        started: Wall-clock start of the period in seconds since 1970 (UTC).
        ended: Wall-clock end of the period.
        period_s: Seconds between two batches.
        dropped: Batches of this life that were lost before this one.
        final: Whether it is the last one of a planned stop.
        counts: Number of decisions by kind.
        events: What happened in the period.
    """

    instance: str
    incarnation: int
    data_centre: str
    sequence: int
    started: float
    ended: float
    period_s: float
    dropped: int
    final: bool
    counts: collections.abc.Mapping[decision_key.DecisionKey, int]
    events: tuple[event.Event, ...]
