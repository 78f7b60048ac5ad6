"""Body of an answer whose request must run to its end."""

import asyncio

from oleanderknot import model


class DrainedBody:
    """Passes a body on, and reads it to its end when the reader gives up.

    Ending the connection would tell the upstream to cancel a request that
    must not be cancelled.

    Attributes:
        body: The body.
        draining: Task that reads the rest after the reader gave up.
    """

    def __init__(self, *, body: model.Body) -> None:
        self.body = body
        self.draining: asyncio.Task | None = None

    async def read(self) -> bytes:
        """Return the next part; empty bytes mark the end.

        Raises:
            IncompleteBodyError: The body ended before it was whole.
        """
        return await self.body.read()

    def cancel(self) -> None:
        """Read the rest and drop it."""
        if self.draining is None:
            self.draining = asyncio.get_running_loop().create_task(
                self.drain()
            )

    async def drain(self) -> None:
        """Read to the end of the body."""
        try:
            while await self.body.read():
                pass
        except model.IncompleteBodyError:
            pass
