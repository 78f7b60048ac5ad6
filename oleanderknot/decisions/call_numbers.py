"""Call numbers that the other side of a connection has used."""

# Larger steps than this show a broken peer; it bounds the memory for gaps.
MAX_STEP = 20_000


class CallNumbers:
    """Tells a new call from a copy of an earlier one.

    Numbers rise by two. Lower ones that were left out are accepted once, so
    that frames in another order do no harm.

    Attributes:
        highest: Highest number seen.
        gaps: Lower numbers that have not been seen.
    """

    def __init__(self) -> None:
        self.highest = 0
        self.gaps: set[int] = set()

    def accept(self, number: int) -> bool:
        """Note a number.

        Args:
            number: Number of a call that the other side opens.

        Returns:
            Whether it is new; otherwise its frame must not be handled.
        """
        if number in self.gaps:
            self.gaps.remove(number)
            return True
        if not 0 < number - self.highest <= MAX_STEP:
            return False
        if self.highest:
            self.gaps.update(range(self.highest + 2, number, 2))
        self.highest = number
        return len(self.gaps) <= MAX_STEP
