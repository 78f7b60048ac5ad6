"""Flow-control window of a body that is being sent."""

import asyncio

from oleanderknot import model

# Bytes of a body that may be in flight before the receiver grants credit.
WINDOW_BYTES = 256 * 1024

# Largest chunk of a body in one frame; also the largest inline body.
CHUNK_BYTES = 64 * 1024


class SendWindow:
    """Tracks how many bytes the receiver of a body still accepts.

    Attributes:
        available: Bytes that may be sent now.
        waiter: Future that wakes the sender when credit arrives.
        close_rule: Rule that ended the transfer, if it has ended.
    """

    def __init__(self) -> None:
        self.available = WINDOW_BYTES
        self.waiter: asyncio.Future[None] | None = None
        self.close_rule: model.Rule | None = None

    def add_credit(self, size: int) -> None:
        """Add credit that the receiver has granted."""
        self.available += size
        self.wake()

    def close(self, rule: model.Rule) -> None:
        """End the transfer and make a waiting sender fail."""
        self.close_rule = rule
        self.wake()

    def wake(self) -> None:
        """Wake the sender if it waits."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def reserve(self, size: int) -> int:
        """Wait for credit and reserve up to ``size`` bytes of it.

        Args:
            size: Bytes that the sender wants to send, above 0.

        Returns:
            Bytes that it may send, from 1 to ``size``.

        Raises:
            IncompleteBodyError: The transfer was ended by the receiver or the
                connection.
        """
        while self.available <= 0 and self.close_rule is None:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
            self.waiter = None
        if self.close_rule is not None:
            raise model.IncompleteBodyError(
                rule=self.close_rule, detail='the receiver ended the transfer'
            )
        reserved = min(size, self.available)
        self.available -= reserved
        return reserved
