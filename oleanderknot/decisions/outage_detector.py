"""Detection of outages of a platform service."""

# A single lost answer must not raise an alert.
FAILURES_FOR_ALERT = 2


class OutageDetector:
    """Detects outages from consecutive failed requests.

    Attributes:
        failures: Consecutive failures since the last answer.
    """

    def __init__(self) -> None:
        self.failures = 0

    def note_result(self, answered: bool) -> tuple[bool | None, bool]:
        """Record the result of one request.

        Args:
            answered: Whether the service answered.

        Returns:
            A pair. The first item is True when an outage has begun, False
            when it has ended, and None otherwise. The second item says
            whether to raise an alert.
        """
        if answered:
            ended = self.failures > 0
            self.failures = 0
            return (False if ended else None), False
        self.failures += 1
        began = True if self.failures == 1 else None
        return began, self.failures == FAILURES_FOR_ALERT
