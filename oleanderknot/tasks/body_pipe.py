"""Receive buffer of a body that another node sends in chunks."""

import asyncio
import collections
import collections.abc

from oleanderknot import model

# Maximum wait for the next part of a body.
PROGRESS_TIMEOUT_S = 10.0


class BodyPipe:
    """Buffers received chunks until they are read.

    The sender may send only as many bytes as were credited, so the buffer
    never holds more than one flow control window.

    Attributes:
        chunks: Chunks received and not yet read.
        offset: Bytes received so far.
        ended: Whether the last chunk has arrived.
        failure: Error that ended the body early; None without one.
        waiter: Future that wakes the reader; None while nobody waits.
        on_credit: Called with the number of bytes that were read.
        on_cancel: Called once when the reader stops early.
    """

    def __init__(
        self,
        *,
        on_credit: collections.abc.Callable[[int], None],
        on_cancel: collections.abc.Callable[[], None],
    ) -> None:
        self.chunks: collections.deque[bytes] = collections.deque()
        self.offset = 0
        self.ended = False
        self.failure: model.IncompleteBodyError | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.on_credit = on_credit
        self.on_cancel = on_cancel

    def put(self, data: bytes, last: bool) -> None:
        """Append a chunk that the connection received."""
        self.offset += len(data)
        if self.failure is not None:
            return
        if data:
            self.chunks.append(data)
        self.ended = self.ended or last
        self.wake()

    def fail(self, rule: model.Rule, detail: str) -> None:
        """Mark the body as truncated unless it is complete."""
        if not self.ended and self.failure is None:
            self.failure = model.IncompleteBodyError(rule=rule, detail=detail)
            self.wake()

    def wake(self) -> None:
        """Wake the reader if it is waiting."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def read(self) -> bytes:
        """Return the next chunk; empty bytes mark the end of the body.

        Raises:
            IncompleteBodyError: The body ended before it was complete.
        """
        while not self.chunks:
            if self.ended:
                return b''
            if self.failure is not None:
                # The error that is raised refers to the frames of the reader
                # and to all that they hold, so it is not kept here.
                raise model.IncompleteBodyError(
                    rule=self.failure.rule, detail=str(self.failure)
                )
            await self.wait()
        data = self.chunks.popleft()
        if not self.ended:
            self.on_credit(len(data))
        return data

    async def wait(self) -> None:
        """Wait for the next change; a timeout truncates the body."""
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(PROGRESS_TIMEOUT_S):
                await self.waiter
        except TimeoutError:
            self.fail(
                model.Rule.UPSTREAM_TIMEOUT,
                'no part of the body arrived in %d s' % PROGRESS_TIMEOUT_S,
            )
            self.on_cancel()
        finally:
            self.waiter = None

    def cancel(self) -> None:
        """Tell the sender that the rest will not be read."""
        if self.chunks:
            # What is dropped here must not pass for a complete body.
            self.chunks.clear()
            self.ended = False
        if not self.ended and self.failure is None:
            self.fail(model.Rule.CALLER_LEFT, 'the reader cancelled the body')
            self.on_cancel()
