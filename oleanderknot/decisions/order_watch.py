"""Detection of sustained refusal of orders."""

# A gap between refusals longer than this ends the measured period.
GAP_S = 10.0


class OrderWatch:
    """Measures for how long orders have been refused without a gap.

    Attributes:
        limit_s: Seconds of refusals after which an alert is due.
        first: Monotonic time in seconds of the first refusal of the period;
            0 for none.
        last: Monotonic time in seconds of the last refusal.
        told: Whether the alert of this period was already reported.
    """

    def __init__(self, *, limit_s: float) -> None:
        self.limit_s = limit_s
        self.first = 0.0
        self.last = 0.0
        self.told = False

    def note(self, now: float) -> None:
        """Record a refused order.

        Args:
            now: Monotonic time in seconds.
        """
        if not self.first or now - self.last > GAP_S:
            self.first = now
            self.told = False
        self.last = now

    def check(self) -> bool:
        """Return True once per period when refusals reach the limit."""
        if not self.first or self.told:
            return False
        self.told = self.last - self.first >= self.limit_s
        return self.told
