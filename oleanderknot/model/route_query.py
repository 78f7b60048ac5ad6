"""Question about where a request would go."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteQuery:
    """Request that is explained and not sent.

    Attributes:
        host: Host that it names, in lower case.
        path: Path and query.
        method: HTTP method.
        organisation: Name of the organisation of its client; empty for none.
        request_id: Id of the request, which decides its priority number.
    """

    host: str
    path: str
    method: str = 'GET'
    organisation: str = ''
    request_id: str = 'route'
