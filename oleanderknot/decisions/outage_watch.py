"""Follows whether a service of the platform answers."""

# One lost answer is no outage.
FAILURES_FOR_ALERT = 2


class OutageWatch:
    """Counts failures in a row.

    Attributes:
        failures: Failures since the last answer.
    """

    def __init__(self) -> None:
        self.failures = 0

    def note(self, answered: bool) -> tuple[bool | None, bool]:
        """Note an attempt.

        Args:
            answered: Whether the service answered.

        Returns:
            True when an outage has begun, False when it has ended, None
            when nothing has changed; and whether to raise an alert.
        """
        if answered:
            ended = self.failures > 0
            self.failures = 0
            return (False if ended else None), False
        self.failures += 1
        began = True if self.failures == 1 else None
        return began, self.failures == FAILURES_FOR_ALERT
