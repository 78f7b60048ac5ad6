"""Bodies that are completely held in memory."""

import collections.abc

from oleanderknot import model
from oleanderknot import transport
from oleanderknot.tasks import send_window


class BufferedBody:
    """Reader for the rest of a body that is held in memory.

    Attributes:
        content: The complete body.
        offset: Number of bytes already read.
    """

    def __init__(self, *, content: bytes, offset: int) -> None:
        self.content = content
        self.offset = offset

    async def read(self) -> bytes:
        """Return the next part; empty bytes mark the end of the body."""
        start = self.offset
        self.offset += send_window.CHUNK_BYTES
        return self.content[start : self.offset]

    def cancel(self) -> None:
        """Skip the rest of the body."""
        self.offset = len(self.content)


def split_body(content: bytes) -> tuple[bytes, BufferedBody | None]:
    """Split a body into the first chunk and a reader for the rest, if any."""
    size = send_window.CHUNK_BYTES
    if len(content) <= size:
        return content, None
    return content[:size], BufferedBody(content=content, offset=size)


async def join_body(
    content: bytes,
    body: model.Body | None,
    on_part: collections.abc.Callable[[int], None] = lambda size: None,
) -> bytes:
    """Return the complete body from its first bytes and the rest.

    The rest is cancelled if the reader stops early, so that its sender does
    not keep it.

    Args:
        content: The first bytes.
        body: The rest, if there is any.
        on_part: Called with the size of each further part.

    Raises:
        IncompleteBodyError: The body ended before it was complete.
    """
    if body is None:
        return content
    buffer = transport.BodyBuffer()
    buffer.append(content)
    try:
        while data := await body.read():
            on_part(len(data))
            buffer.append(data)
    finally:
        body.cancel()
    return buffer.get_value()
