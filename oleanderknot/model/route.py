"""Route of the traffic policy."""

import dataclasses

from oleanderknot.model import route_target


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Settings for the requests of one host and path prefix.

    Attributes:
        name: Name of the route for operators.
        host: Requested host in lower case.
        prefix: Path prefix, starting and ending with a slash.
        idempotent: Whether a request may run more than once.
        targets: Services that run the requests, with their weights.
        timeout_s: Maximum time in seconds until a request is answered.
        latency_target_s: Time in seconds within which a response has its full
            value for the customer.
        max_attempts: Maximum number of upstreams that one request is sent to.
        priority: Priority; 0 is the highest.
        anonymous: Whether clients need no API key.
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
    anonymous: bool = False
