"""Bounds the memory of the request bodies that a node holds."""

import collections.abc

from oleanderknot import model

# Room for other requests beside one with the largest allowed body.
RESERVE_BYTES = 16 << 20


class BodyBudget:
    """Counts the bytes of request bodies that are received or in use.

    One body of the largest allowed size always fits. The next one of that
    size is refused while it is held, since a node that exceeds its memory is
    killed with all its requests.

    Attributes:
        limits: Returns the limits in force.
        held_bytes: Sum of the bodies.
    """

    def __init__(
        self, *, limits: collections.abc.Callable[[], model.ClientLimits]
    ) -> None:
        self.limits = limits
        self.held_bytes = 0

    def reserve(self, size: int) -> bool:
        """Count bytes that are about to be held; return whether they fit."""
        if (
            self.held_bytes + size
            > self.limits().max_body_bytes + RESERVE_BYTES
        ):
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Stop counting bytes."""
        self.held_bytes -= size
