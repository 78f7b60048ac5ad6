"""Bodies that are whole before they are passed on."""

from oleanderknot import model
from oleanderknot.tasks import send_window


class WholeBody:
    """The rest of a body that is in memory.

    Attributes:
        content: The whole body.
        offset: Bytes that were read.
    """

    def __init__(self, *, content: bytes, offset: int) -> None:
        self.content = content
        self.offset = offset

    async def read(self) -> bytes:
        """Return the next part; empty bytes mark the end."""
        start = self.offset
        self.offset += send_window.CHUNK_BYTES
        return self.content[start : self.offset]

    def cancel(self) -> None:
        """Tell the sender that nobody reads on."""
        self.offset = len(self.content)


def split_body(content: bytes) -> tuple[bytes, WholeBody | None]:
    """Split a body into its first frame and the rest, if there is any."""
    size = send_window.CHUNK_BYTES
    if len(content) <= size:
        return content, None
    return content[:size], WholeBody(content=content, offset=size)


async def join_body(content: bytes, body: model.Body | None) -> bytes:
    """Read the rest of a body.

    Raises:
        IncompleteBodyError: The body ended before it was whole.
    """
    if body is None:
        return content
    parts = [content]
    while data := await body.read():
        parts.append(data)
    return b''.join(parts)
