"""An answer on its way back to the caller."""

import dataclasses
import typing

from oleanderknot.model import call
from oleanderknot.model import load_report


class Body(typing.Protocol):
    """Bytes of a request or an answer that arrive in parts."""

    async def read(self) -> bytes:
        """Return the next part; empty bytes mark the end.

        Raises:
            IncompleteBodyError: The body ended before it was whole.
        """

    def cancel(self) -> None:
        """Tell the sender that nobody reads on."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """The answer of an upstream.

    Attributes:
        status: HTTP status code.
        headers: End-to-end response headers.
        content: The whole body when it is short.
        body: The rest of the body when it arrives in parts.
        unspent: Retries of the allowance that were not used; for a body in
            parts it is final once the body has ended.
        reports: Load reports of the answering node.
    """

    status: int
    headers: call.Headers
    content: bytes = b''
    body: Body | None = None
    unspent: int = 0
    reports: tuple[load_report.LoadReport, ...] = ()
