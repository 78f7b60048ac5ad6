"""Part of a node's memory that one holder has."""

import collections.abc
import typing

from oleanderknot.decisions import holder_kind
from oleanderknot.decisions import transfer_progress

if typing.TYPE_CHECKING:
    from oleanderknot.decisions import node_memory


class MemoryLease:
    """Counts the memory of one holder.

    Attributes:
        memory: Memory of the node.
        kind: What the holder holds.
        give_way: Makes the holder release all of its memory.
        progress: Progress of the holder's transfer; None while it transfers
            nothing, or if its kind does not depend on this.
        size: Bytes held.
        gave_way: Whether the holder had to give way, or the lease is closed.
    """

    def __init__(
        self,
        *,
        memory: 'node_memory.NodeMemory',
        kind: holder_kind.HolderKind,
        give_way: collections.abc.Callable[[], None],
    ) -> None:
        self.memory = memory
        self.kind = kind
        self.give_way = give_way
        self.progress: transfer_progress.TransferProgress | None = None
        self.size = 0
        self.gave_way = False

    def resize(self, size: int) -> bool:
        """Set the bytes held; return whether there is memory for them.

        Without memory for them, the lease keeps its size. A lease that gave
        way or has ended gets no memory.
        """
        added = size - self.size
        if added > 0 and (
            self.gave_way or not self.memory.make_room(added, self)
        ):
            return False
        self.size = size
        self.memory.add(self, added)
        return True

    def extend(self, size: int) -> bool:
        """Add bytes; return whether there is memory for them."""
        return self.resize(self.size + size)

    def end(self) -> None:
        """Release the memory."""
        self.resize(0)

    def close(self) -> None:
        """Release the memory for good.

        The holder refers to the lease. Without the reference back both are
        freed at once, and not by a collection that may come much later.
        """
        self.end()
        self.gave_way = True
        self.give_way = ignore

    def may_give_way(self, requester: 'MemoryLease', size: int) -> bool:
        """Return whether the holder gives way to another one.

        Args:
            requester: Lease that needs memory.
            size: Bytes that it needs in addition.
        """
        kinds = holder_kind.HolderKind
        if self is requester or not self.size:
            return False
        if self.kind in (kinds.CLIENT, kinds.PEER):
            return self.progress is not None and self.progress.is_slow()
        if self.kind is kinds.RESPONSE:
            return self.size > requester.size + size
        return self.kind is kinds.KEPT

    def find_order(self) -> tuple[int, float, int]:
        """Return the sort key of the order in which holders give way."""
        rate = 0.0
        if self.progress is not None and self.progress.rate is not None:
            rate = self.progress.rate
        return self.kind, rate, -self.size


def ignore() -> None:
    """Do nothing; for leases without a holder."""
