"""Target service of a route."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteTarget:
    """Service that receives a share of a route's requests.

    Attributes:
        service: Service that runs the requests.
        weight: Share of the route's requests, relative to its other targets.
    """

    service: str
    weight: float
