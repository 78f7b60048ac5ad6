"""HTTP response that a listener sends."""

import dataclasses

from oleanderknot.model import call


@dataclasses.dataclass(slots=True, kw_only=True)
class HttpResponse:
    """A complete response with its body.

    Attributes:
        status: Status code.
        headers: End-to-end headers, in order, without ``Content-Length``.
        content: The body.
        close: Whether the connection is closed after the response.
    """

    status: int
    headers: call.Headers = dataclasses.field(default_factory=list)
    content: bytes = b''
    close: bool = False
