"""Route of the traffic policy."""

import dataclasses

from oleanderknot.model import route_target


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How the requests of one host and path prefix are handled.

    Attributes:
        name: Name that operators know the route by.
        host: Host that a request names, in lower case.
        prefix: Path prefix, starting and ending with a slash.
        idempotent: Whether a request may run more than once.
        targets: Services that run the requests, with their weights.
        timeout_s: Longest time in seconds that a request is kept waiting.
        latency_target_s: Time in seconds within which an answer is of full
            use to the customer.
        max_attempts: Most upstreams that one request is sent to.
        priority: Rank; 0 is the most important.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    targets: tuple[route_target.RouteTarget, ...]
    timeout_s: float
    latency_target_s: float
    max_attempts: int
    priority: int
