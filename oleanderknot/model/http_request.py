"""HTTP request as a listener received it."""

import dataclasses

from oleanderknot.model import call


@dataclasses.dataclass(slots=True, kw_only=True)
class HttpRequest:
    """A complete request with its body.

    Attributes:
        method: Method as received.
        target: Path and query as received.
        headers: All headers, in order.
        content: The body.
        received_at: Event loop time in seconds at which the request was
            complete.
        source: IP address that the request came from; empty if unknown.
    """

    method: str
    target: str
    headers: call.Headers
    content: bytes
    received_at: float
    source: str = ''
