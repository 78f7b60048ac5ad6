"""Tracks whether the upstream of this node accepts new work."""

import collections.abc
import enum

from oleanderknot import model


class LeavingReason(enum.Enum):
    """Reason why an upstream accepts no new work.

    Work that a ticket stops is refused by ``policy_check``, which names the
    ticket.
    """

    UPSTREAM = 'the upstream asked to leave'
    ANSWER = 'the upstream says in its answers that it leaves'
    STOP = 'the node stops'


def find_state(leaving: bool, service: str) -> model.MemberState:
    """Return the member state of this node.

    Args:
        leaving: Whether the upstream accepts no new work.
        service: Service of the upstream; empty before it is known.
    """
    if leaving:
        return model.MemberState.LEAVING
    return model.MemberState.TAKING if service else model.MemberState.JOINING


class LeavingReasons:
    """Tracks the reasons why the upstream accepts no new work.

    Attributes:
        reasons: The reasons that hold now.
        on_change: Called after each change of the reasons.
    """

    def __init__(
        self,
        *,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self.reasons: set[LeavingReason] = set()
        self.on_change = on_change

    def set(self, reason: LeavingReason, holds: bool) -> None:
        """Record whether a reason holds."""
        if holds == (reason in self.reasons):
            return
        if holds:
            self.reasons.add(reason)
        else:
            self.reasons.discard(reason)
        self.on_change()

    def is_upstream_leaving(self) -> bool:
        """Return whether it is the upstream that leaves.

        It may be gone before a queued call reaches it. A node that only stops
        still runs its queue.
        """
        return bool(self.reasons - {LeavingReason.STOP})

    def holds(self, reason: LeavingReason) -> bool:
        """Return whether a reason holds now."""
        return reason in self.reasons
