"""A call on its way through the system."""

import dataclasses

from oleanderknot.model import request_class as classes

# Names and values of HTTP headers, in order.
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """One call to a service, without its body.

    Attributes:
        service: Service that the call asks for.
        method: HTTP method in upper case.
        path: Path and query without the service name, starting with ``/``.
        headers: End-to-end request headers.
        request_class: Importance of the whole chain.
        depth: Calls above this one in the chain; 0 for the root.
        deadline: Monotonic time in seconds at which the answer's head is due.
        allowance: Retries that this call may spend.
        key: Idempotency key; empty for none.
        idempotent: Whether a second run does no harm.
        trace_id: 32 hexadecimal digits.
        span_id: 16 hexadecimal digits of the span above this call, or the
            id of the request on a platform that gives each one an id.
        sampled: Whether the trace is recorded.
        route: Path prefix of the policy route that matched.
        ticket: Number of the ticket that set the policy of the root.
        has_body: Whether the request carries a body.
        started: Whether it has been sent to the own upstream.
        failed_attempts: Instance and rule of each failed attempt, for the log.
    """

    service: str
    method: str
    path: str
    headers: Headers
    request_class: classes.RequestClass
    deadline: float
    trace_id: str
    span_id: str
    depth: int = 0
    allowance: int = 0
    key: str = ''
    idempotent: bool = True
    sampled: bool = False
    route: str = ''
    ticket: int = 0
    has_body: bool = False
    started: bool = False
    failed_attempts: list[str] = dataclasses.field(default_factory=list)
