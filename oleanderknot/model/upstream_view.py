"""What a node knows of one upstream that it may choose."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamView:
    """Load of an upstream as the choice sees it.

    Attributes:
        instance: Name of the instance.
        data_centre: Its data centre.
        usable: Whether the choice may take it.
        reason: Why it may not; empty if it may.
        outstanding: Calls of this node that it has not answered.
        in_flight: Estimated number of its calls of other nodes.
        limit: Calls that it may run at once.
        level: Admission level, from 0 to 4.
        failure_share: Share of its calls that fail.
        relative_time: Its time for a call over the mean of its service.
        age_s: Seconds since its last report; None without one.
    """

    instance: str
    data_centre: str
    usable: bool
    reason: str = ''
    outstanding: int = 0
    in_flight: float = 0.0
    limit: int = 0
    level: float = 0.0
    failure_share: float = 0.0
    relative_time: float = 1.0
    age_s: float | None = None
