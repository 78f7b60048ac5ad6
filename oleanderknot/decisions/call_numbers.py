"""Duplicate detection for the call numbers of a connection."""

# A larger step is a protocol error of the peer. The bound also limits the
# memory for gaps.
MAX_STEP = 20_000


class CallNumbers:
    """Distinguishes new calls from duplicates of earlier ones.

    Numbers increase by two. Skipped lower numbers are accepted once, so that
    reordered frames are handled.

    Attributes:
        highest: Highest number seen.
        gaps: Skipped lower numbers that have not been seen.
    """

    def __init__(self) -> None:
        self.highest = 0
        self.gaps: set[int] = set()

    def accept(self, number: int) -> bool:
        """Record a number and return whether its call is new.

        Args:
            number: Number of a call that the peer opens.

        Returns:
            Whether it is new; otherwise its frame must be ignored.
        """
        if number in self.gaps:
            self.gaps.remove(number)
            return True
        if not 0 < number - self.highest <= MAX_STEP:
            return False
        if self.highest and number - self.highest > 2:
            self.gaps.update(range(self.highest + 2, number, 2))
        self.highest = number
        return len(self.gaps) <= MAX_STEP
