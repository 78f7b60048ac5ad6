"""Queries about keys that this node has sent on one connection."""

import asyncio
import collections.abc

from oleanderknot import wire
from oleanderknot.tasks import body_sender

# Time in seconds for the path in both directions, beyond the wait of the peer.
PATH_TIME_S = 1.0


class KeyQueries:
    """Matches the states that arrive on a connection to the queries.

    Attributes:
        frame_writer: Writes frames to the peer.
        take_number: Returns the number of the next message to the peer.
        pending: Queries without a response, by number.
        on_ended: Called when a query has ended.
    """

    def __init__(
        self,
        *,
        frame_writer: body_sender.FrameWriter,
        take_number: collections.abc.Callable[[], int],
    ) -> None:
        self.frame_writer = frame_writer
        self.take_number = take_number
        self.pending: dict[int, asyncio.Future[wire.KeyState]] = {}
        self.on_ended: collections.abc.Callable[[], None] = lambda: None

    async def query(self, key: str, wait_s: float) -> wire.KeyState:
        """Ask the peer for the state of a key.

        Args:
            key: The key.
            wait_s: Seconds that the peer may wait for a running call.

        Returns:
            The state of the key.

        Raises:
            ConnectionError: The connection closed before the response.
            TimeoutError: No response came within ``wait_s`` plus one second.
        """
        number = self.take_number()
        future = asyncio.get_running_loop().create_future()
        self.pending[number] = future
        self.frame_writer.send(
            number,
            key_query=wire.KeyQuery(key=key, wait_ms=int(wait_s * 1000)),
        )
        try:
            async with asyncio.timeout(wait_s + PATH_TIME_S):
                return await future
        finally:
            self.pending.pop(number, None)
            self.on_ended()

    def handle_state(self, number: int, state: wire.KeyState) -> None:
        """Pass the response to a query to the caller."""
        future = self.pending.pop(number, None)
        if future is not None and not future.done():
            future.set_result(state)

    def fail_all(self, error: ConnectionError) -> None:
        """Fail all pending queries."""
        for future in self.pending.values():
            if not future.done():
                future.set_exception(error)
