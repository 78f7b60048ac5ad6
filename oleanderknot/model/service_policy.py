"""Policy of one service."""

import dataclasses

from oleanderknot.model import route_policy


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServicePolicy:
    """Complete policy of one service.

    Attributes:
        service: Name of the service.
        routes: Routes in order; the first match applies.
    """

    service: str
    routes: tuple[route_policy.RoutePolicy, ...]
