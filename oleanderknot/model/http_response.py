"""HTTP response that a listener sends."""

import dataclasses

from oleanderknot.model import call


@dataclasses.dataclass(slots=True, kw_only=True)
class HttpResponse:
    """One whole response.

    Attributes:
        status: Status code.
        headers: End-to-end headers, in order, without the body's length.
        content: The body.
        close: Whether the connection ends after the response.
    """

    status: int
    headers: call.Headers = dataclasses.field(default_factory=list)
    content: bytes = b''
    close: bool = False
