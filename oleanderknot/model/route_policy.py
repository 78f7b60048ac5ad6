"""Policy of one route."""

import dataclasses

from oleanderknot.model import request_class as classes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutePolicy:
    """Policy for the requests of a service that match a route.

    Attributes:
        method: HTTP method, or ``*`` for all.
        prefix: Path prefix, starting with ``/``.
        request_class: Priority class of call chains that start here.
        idempotent: Whether a request may safely run more than once.
        deadline_ms: Milliseconds within which the response head is due.
        retries: Retries that one request may cause in its whole call chain.
    """

    method: str
    prefix: str
    request_class: classes.RequestClass
    idempotent: bool
    deadline_ms: int
    retries: int
