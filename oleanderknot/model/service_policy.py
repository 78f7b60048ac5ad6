"""Policy of one service."""

import dataclasses

from oleanderknot.model import route_policy


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServicePolicy:
    """Policy of one service, whole.

    Attributes:
        service: Name of the service.
        routes: Routes; the first that matches decides.
    """

    service: str
    routes: tuple[route_policy.RoutePolicy, ...]
