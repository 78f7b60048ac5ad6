"""A call to a service and its context."""

import dataclasses

from oleanderknot.model import repeat_kind
from oleanderknot.model import request_class as classes
from oleanderknot.model import upstream_notice

# Names and values of HTTP headers, in order.
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """One call to a service, without its body.

    Attributes:
        service: Requested service.
        method: HTTP method in upper case.
        path: Path and query without the service name, starting with ``/``.
        headers: End-to-end request headers.
        request_class: Priority class of the whole call chain.
        depth: Number of calls above this one in the chain; 0 for the root.
        deadline: Monotonic time in seconds by which the response head is due.
        allowance: Retries that this call and the calls below it may use.
        key: Idempotency key; empty for none.
        idempotent: Whether the request may safely run more than once.
        trace_id: 32 hexadecimal digits.
        span_id: Parent span id of 16 hexadecimal digits, or the request id on
            a platform that assigns one to each request.
        sampled: Whether the trace is recorded.
        route: Path prefix of the policy route that matched.
        ticket: Number of the ticket that set the policy applied to the root.
        has_body: Whether the request carries a body.
        repeat: Whether it counts as a repeat at its service.
        notice: What the upstream has said about itself to the sender; None
            for nothing.
        started: Whether it has been sent to this node's upstream.
        organisation: Name of the organisation whose client sent the root
            request; empty for none.
        rank: Fraction of the priority number within the class, from 0 to
            below 1, assigned by the first node; None if it is that of the
            trace id.
        failed_attempts: Instance and rule of each failed attempt, for logging.
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
    repeat: repeat_kind.RepeatKind = repeat_kind.RepeatKind.FIRST
    notice: upstream_notice.UpstreamNotice | None = None
    started: bool = False
    organisation: str = ''
    rank: float | None = None
    failed_attempts: list[str] = dataclasses.field(default_factory=list)
