"""Body of an answer whose request must not be cancelled."""

import asyncio

from oleanderknot import model


class DrainedBody:
    """Forwards a body and, when the reader cancels, drains the rest.

    Closing the connection would make the upstream cancel a request that has
    to run to its end.

    Attributes:
        body: The wrapped body.
        draining: Task that reads the rest after the reader cancelled.
    """

    def __init__(self, *, body: model.Body) -> None:
        self.body = body
        self.draining: asyncio.Task | None = None

    async def read(self) -> bytes:
        """Return the next part; empty bytes mark the end of the body.

        Raises:
            IncompleteBodyError: The body ended before it was complete.
        """
        return await self.body.read()

    def cancel(self) -> None:
        """Start to read and discard the rest of the body."""
        if self.draining is None:
            self.draining = asyncio.get_running_loop().create_task(
                self.drain()
            )

    async def drain(self) -> None:
        """Read and discard the body up to its end."""
        try:
            while await self.body.read():
                pass
        except model.IncompleteBodyError:
            pass
