"""Response of an upstream to a call."""

import dataclasses
import typing

from oleanderknot.model import call
from oleanderknot.model import load_report


class Body(typing.Protocol):
    """Streamed body of a request or a response."""

    async def read(self) -> bytes:
        """Return the next chunk; empty bytes mark the end.

        Raises:
            IncompleteBodyError: The body ended before it was complete.
        """

    def cancel(self) -> None:
        """Tell the sender that the rest of the body is not needed."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """Response of an upstream.

    Attributes:
        status: HTTP status code.
        headers: End-to-end response headers.
        content: The start of the body; all of it unless ``body`` is set.
        body: The rest of the body when it is streamed.
        unspent: Unused retries of the call's allowance; for a streamed body
            the value is final only once the body has ended.
        reports: Load reports of the responding node.
    """

    status: int
    headers: call.Headers
    content: bytes = b''
    body: Body | None = None
    unspent: int = 0
    reports: tuple[load_report.LoadReport, ...] = ()
