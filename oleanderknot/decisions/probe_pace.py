"""Spaces the calls that test whether an upstream admits more again."""

import collections.abc

# Time between two calls that are let through only because the last report is
# old. A tree of calls that fails below wastes the work of all above it, so
# they must be few; a level that has recovered is learned from the first.
GAP_S = 0.5


class ProbePace:
    """Remembers when the next test of each target may be made.

    Attributes:
        next_at: Monotonic time in seconds of the next test, by target.
    """

    def __init__(self) -> None:
        self.next_at: dict[collections.abc.Hashable, float] = {}

    def take(self, target: collections.abc.Hashable, now: float) -> bool:
        """Return whether a test may be made now, and count it.

        Args:
            target: What is tested.
            now: Monotonic time in seconds.
        """
        if now < self.next_at.get(target, 0.0):
            return False
        self.next_at[target] = now + GAP_S
        return True
