"""Limits how many lines of one kind a log gets."""


class LogSampler:
    """Lets a number of lines through each second and counts the others.

    Attributes:
        per_second: Lines let through each second.
        second: The current second.
        allowed: Lines let through in the current second.
        left_out: Lines left out and not told yet.
    """

    def __init__(self, *, per_second: int) -> None:
        self.per_second = per_second
        self.second = -1
        self.allowed = 0
        self.left_out = 0

    def allow(self, now: float) -> bool:
        """Return whether a line may be logged; count it if not.

        Args:
            now: Monotonic time in seconds.
        """
        second = int(now)
        if second != self.second:
            self.second = second
            self.allowed = 0
        if self.allowed < self.per_second:
            self.allowed += 1
            return True
        self.left_out += 1
        return False

    def flush(self) -> int:
        """Return the lines left out since the last call."""
        left_out, self.left_out = self.left_out, 0
        return left_out
