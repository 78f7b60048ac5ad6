"""Request that waits for a token of its organisation."""

import asyncio
import collections.abc

# A timer that fires this late shows that this process did not run, and an
# answer may wait to be read.
STALL_S = 0.03


class QuotaWaiter:
    """Waits for a token until a time.

    Attributes:
        due: Monotonic time in seconds until which it waits.
        clock: Returns the monotonic time in seconds.
        future: Done with whether it has a token.
    """

    __slots__ = ('due', 'clock', 'future')

    def __init__(
        self, *, due: float, clock: collections.abc.Callable[[], float]
    ) -> None:
        self.due = due
        self.clock = clock
        self.future: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    async def wait(self) -> bool:
        """Return whether a token came in time."""
        if self.future.done():
            return self.future.result()
        timer = asyncio.get_running_loop().call_later(
            self.due - self.clock(), self.expire
        )
        try:
            return await self.future
        finally:
            timer.cancel()

    def expire(self) -> None:
        """End the wait, after a stall of this process a little later."""
        if self.clock() - self.due > STALL_S:
            asyncio.get_running_loop().call_later(STALL_S, self.refuse)
        else:
            self.refuse()

    def refuse(self) -> None:
        """End the wait without a token."""
        if not self.future.done():
            self.future.set_result(False)
