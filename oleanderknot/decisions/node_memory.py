"""Memory that a node holds for clients, upstreams and other nodes."""

import collections.abc
import sys

from oleanderknot.decisions import holder_kind
from oleanderknot.decisions import memory_lease

# Part of the memory that is left to small holders, so that ordinary requests
# are served while bodies and responses take all the rest.
RESERVE_SHARE = 1 / 16

# Largest size of a small holder; the largest body that is sent in one message.
SMALL_BYTES = 64 * 1024


class NodeMemory:
    """Owns the bound of all that a node holds for others.

    Responds to clients that do not read or do not finish sending, and to
    bodies that exceed the memory together: what needs more memory than is
    left makes holders give way in the order of their kinds, or is refused.

    Attributes:
        max_bytes: Bound of the bytes held.
        held: Bytes held by all leases.
        leases: Leases with memory.
        on_give_way: Called with the kind of each holder that gives way.
        on_refused: Called when there is no memory for a holder.
    """

    def __init__(
        self,
        *,
        max_bytes: int = sys.maxsize,
        on_give_way: collections.abc.Callable[
            [holder_kind.HolderKind], None
        ] = lambda kind: None,
        on_refused: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.max_bytes = max_bytes
        self.on_give_way = on_give_way
        self.on_refused = on_refused
        self.held = 0
        self.leases: set[memory_lease.MemoryLease] = set()

    def lease(
        self,
        kind: holder_kind.HolderKind,
        give_way: collections.abc.Callable[[], None] = memory_lease.ignore,
    ) -> memory_lease.MemoryLease:
        """Create a lease without memory.

        Args:
            kind: What is held.
            give_way: Makes the holder release all of its memory.
        """
        return memory_lease.MemoryLease(
            memory=self, kind=kind, give_way=give_way
        )

    def add(self, lease: memory_lease.MemoryLease, size: int) -> None:
        """Count a change of a lease's size; called by the lease."""
        self.held += size
        if lease.size:
            self.leases.add(lease)
        else:
            self.leases.discard(lease)

    def make_room(
        self, size: int, requester: memory_lease.MemoryLease
    ) -> bool:
        """Make holders give way until there is room.

        None gives way if all that may are not enough.

        Args:
            size: Bytes needed.
            requester: Lease that needs them.

        Returns:
            Whether there is room.
        """
        bound = self.max_bytes
        if requester.size + size > SMALL_BYTES:
            bound -= int(bound * RESERVE_SHARE)
        missing = self.held + size - bound
        if missing <= 0:
            return True
        chosen = []
        for lease in sorted(
            (
                lease
                for lease in self.leases
                if lease.may_give_way(requester, size)
            ),
            key=memory_lease.MemoryLease.find_order,
        ):
            if missing <= 0:
                break
            chosen.append(lease)
            missing -= lease.size
        if missing > 0:
            self.on_refused()
            return False
        for lease in chosen:
            lease.gave_way = lease.kind is not holder_kind.HolderKind.KEPT
            lease.end()
            self.on_give_way(lease.kind)
            lease.give_way()
        return True
