"""Finds that orders are refused for longer than a moment."""

# A pause without refused orders that ends the time that is measured.
GAP_S = 10.0


class OrderWatch:
    """Measures for how long orders have been refused without a pause.

    Attributes:
        limit_s: Seconds after which operators are told.
        first: Monotonic time of the first refusal; 0 for none.
        last: Monotonic time of the last refusal.
        told: Whether operators have been told of this time.
    """

    def __init__(self, *, limit_s: float) -> None:
        self.limit_s = limit_s
        self.first = 0.0
        self.last = 0.0
        self.told = False

    def note(self, now: float) -> None:
        """Note a refused order.

        Args:
            now: Monotonic time in seconds.
        """
        if not self.first or now - self.last > GAP_S:
            self.first = now
            self.told = False
        self.last = now

    def check(self) -> bool:
        """Return True once when orders were refused for the limit."""
        if not self.first or self.told:
            return False
        self.told = self.last - self.first >= self.limit_s
        return self.told
