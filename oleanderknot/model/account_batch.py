"""Batch of the account, the persistent record of decisions."""

import collections.abc
import dataclasses

from oleanderknot.model import decision_key
from oleanderknot.model import event


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AccountBatch:
    """Decision counts and events of one node in one reporting period.

    Attributes:
        instance: Name of the node's instance.
        incarnation: Incarnation of the node.
        data_centre: Data centre of the instance.
        sequence: Number of the batch within the incarnation, from 1.
        started: Wall-clock start of the period in seconds since 1970 (UTC).
        ended: Wall-clock end of the period.
        period_s: Seconds between two batches.
        dropped: Batches of this incarnation that were lost before this one.
        final: Whether it is the last batch before a planned stop.
        counts: Number of decisions by key.
        events: Events in the period.
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
