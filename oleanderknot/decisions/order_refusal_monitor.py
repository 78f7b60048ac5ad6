"""Detection of sustained refusal of orders."""

# A gap between refusals longer than this ends the measured period.
MAX_GAP_S = 10.0


class OrderRefusalMonitor:
    """Measures for how long orders have been refused without a gap.

    Attributes:
        limit_s: Seconds of refusals after which an alert is due.
        first_refusal: Monotonic time in seconds of the first refusal of the
            period; 0 for none.
        last_refusal: Monotonic time in seconds of the last refusal.
        reported: Whether the alert of this period was already reported.
    """

    def __init__(self, *, limit_s: float) -> None:
        self.limit_s = limit_s
        self.first_refusal = 0.0
        self.last_refusal = 0.0
        self.reported = False

    def note_refusal(self, now: float) -> None:
        """Record a refused order.

        Args:
            now: Monotonic time in seconds.
        """
        if not self.first_refusal or now - self.last_refusal > MAX_GAP_S:
            self.first_refusal = now
            self.reported = False
        self.last_refusal = now

    def check(self) -> bool:
        """Return True once per period when refusals reach the limit."""
        if not self.first_refusal or self.reported:
            return False
        self.reported = self.last_refusal - self.first_refusal >= self.limit_s
        return self.reported
