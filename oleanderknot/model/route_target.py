"""Service that a route sends a share of its requests to."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteTarget:
    """One destination of a route.

    Attributes:
        service: Service that runs the requests.
        weight: Share of the route's requests, relative to its other targets.
    """

    service: str
    weight: float
