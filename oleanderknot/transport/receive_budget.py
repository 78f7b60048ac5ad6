"""Bounds the memory of responses that are still being received."""

import collections.abc

from oleanderknot import decisions

# Largest body of one response, and of all incomplete responses of a server
# together. The smallest instances have 200 MB of memory.
MAX_RESPONSE_BYTES = 32 << 20
MAX_TOTAL_BYTES = 64 << 20


class ReceiveBudget:
    """Counts the bytes of incomplete responses of one server.

    When they exceed the bound, the response that holds most of them is
    aborted, so that one without an end does not cost the others theirs.

    The bytes are also counted in the memory of the node, if it is given.

    Attributes:
        memory: Memory of the node.
        leases: Leases by the function that aborts their response.
        max_response_bytes: Largest body of one response.
        max_total_bytes: Largest sum of all incomplete bodies.
        held: Bytes by the function that aborts their response.
        total: Sum of the bytes held.
    """

    def __init__(
        self,
        *,
        memory: decisions.NodeMemory | None = None,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        self.memory = memory or decisions.NodeMemory()
        self.leases: dict[
            collections.abc.Callable[[], None], decisions.MemoryLease
        ] = {}
        self.max_response_bytes = max_response_bytes
        self.max_total_bytes = max_total_bytes
        self.held: dict[collections.abc.Callable[[], None], int] = {}
        self.total = 0

    def hold(
        self, abort: collections.abc.Callable[[], None], size: int
    ) -> None:
        """Set the size of a response and abort one if they are too large.

        Args:
            abort: Aborts the response and calls ``remove``. It identifies
                the response.
            size: Number of bytes received so far.
        """
        self.total += size - self.held.get(abort, 0)
        self.held[abort] = size
        lease = self.leases.get(abort)
        if lease is None:
            lease = self.leases[abort] = self.memory.lease(
                decisions.HolderKind.RESPONSE, abort
            )
        # A growing buffer reserves up to an eighth more than it holds.
        if size > self.max_response_bytes or not lease.resize(
            size + size // 8
        ):
            abort()
        elif self.total > self.max_total_bytes:
            max(self.held, key=self.held.__getitem__)()

    def complete(self, abort: collections.abc.Callable[[], None]) -> None:
        """Note that a response is complete, so that it gives way no more.

        It is counted until its owner has taken it over.
        """
        self.total -= self.held.pop(abort, 0)
        lease = self.leases.get(abort)
        if lease is not None:
            lease.kind = decisions.HolderKind.RUNNING

    def remove(self, abort: collections.abc.Callable[[], None]) -> None:
        """Stop counting a response that is complete or was aborted."""
        self.total -= self.held.pop(abort, 0)
        lease = self.leases.pop(abort, None)
        if lease is not None:
            lease.end()
