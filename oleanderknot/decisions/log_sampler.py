"""Rate limit for log lines of one kind."""


class LogSampler:
    """Allows a number of lines per second and counts the suppressed ones.

    Attributes:
        per_second: Lines allowed per second.
        second: Current second of the monotonic clock.
        allowed: Lines allowed in the current second.
        left_out: Suppressed lines that have not been reported yet.
    """

    def __init__(self, *, per_second: int) -> None:
        self.per_second = per_second
        self.second = -1
        self.allowed = 0
        self.left_out = 0

    def allow(self, now: float) -> bool:
        """Return whether a line may be logged; count it as suppressed if not.

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
        """Return the number of suppressed lines and reset it."""
        left_out, self.left_out = self.left_out, 0
        return left_out
