"""Response body that is being sent to another node."""

import collections.abc

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import buffered_body

# Progress of responses to other nodes is not bound to a number of bytes: the
# connection between the nodes detects a silent node.
MIN_BYTES = 1


class LeasedBody:
    """Reads a buffered body whose memory is leased until its end.

    Attributes:
        body: The body.
        lease: Its memory.
        on_end: Called with this object when the memory has been released.
    """

    def __init__(
        self,
        *,
        body: buffered_body.BufferedBody,
        memory: decisions.NodeMemory,
        now: float,
        on_end: collections.abc.Callable[['LeasedBody'], object],
    ) -> None:
        self.body = body
        self.on_end = on_end
        self.lease = memory.lease(decisions.HolderKind.PEER, self.give_way)
        self.lease.progress = decisions.TransferProgress(
            now=now, transferred=body.offset
        )

    def hold(self) -> bool:
        """Lease the memory of the body, or drop it if there is not enough.

        Returns:
            Whether there is enough.
        """
        held = self.lease.resize(len(self.body.content))
        if not held:
            self.end()
        return held

    def give_way(self) -> None:
        """Drop the rest of the body."""
        self.body.content = b''
        self.on_end(self)

    def observe(self, now: float) -> None:
        """Measure how fast the other node takes the body."""
        self.lease.progress.observe(now, self.body.offset, MIN_BYTES)

    async def read(self) -> bytes:
        """Return the next part; empty bytes mark the end of the body.

        Raises:
            IncompleteBodyError: The body had to give way.
        """
        if self.lease.gave_way:
            raise model.IncompleteBodyError(
                rule=model.Rule.UPSTREAM_CUT,
                detail='the node needs the memory of a slow response',
            )
        data = await self.body.read()
        if not data:
            self.end()
        return data

    def cancel(self) -> None:
        """Skip the rest of the body."""
        self.body.cancel()
        self.end()

    def end(self) -> None:
        """Release the memory."""
        self.body.content = b''
        self.lease.close()
        self.on_end(self)
