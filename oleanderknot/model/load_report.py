"""Load of an upstream as reported by its node."""

import collections.abc
import dataclasses

from oleanderknot.model import upstream_notice


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadReport:
    """Load of one upstream for one route.

    Attributes:
        service: Service of the upstream.
        route: Path prefix of the route; empty for the whole service.
        level: Admission level from 0 (nothing) to 4 (everything).
        in_flight: Calls that are running or queued at the upstream.
        limit: Concurrency limit in force, in calls.
        excess: Factor by which organisations exceed their fair share of the
            upstream, by name; None for none.
        notice: What the upstream says about itself; None for nothing.
        own_time_s: Mean time in seconds that the upstream works on a call of
            the route, without the wait for its nested calls; None while too
            few calls were measured, or from a node of an earlier version.
        start: Number drawn at the start of the upstream, to tell its starts
            apart; None from a node of an earlier version.
    """

    service: str
    route: str
    level: float
    in_flight: int
    limit: int
    excess: collections.abc.Mapping[str, float] | None = None
    notice: upstream_notice.UpstreamNotice | None = None
    own_time_s: float | None = None
    start: int | None = None
