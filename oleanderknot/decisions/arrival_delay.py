"""Estimate of how long a message waited before it was read."""

# Time over which the smallest difference is kept. Clocks drift apart by up to
# 0.1 ms a second, so an older difference would make messages seem delayed.
WINDOW_S = 30.0


class ArrivalDelay:
    """Estimates the delay of the messages on one connection.

    The clocks of both machines need not agree: the difference between the
    time of arrival and the sender's time is smallest for messages that were
    read at once, and what a message exceeds that by is its delay. Both clocks
    must run on while a machine is suspended, and must not be set.

    Attributes:
        smallest_s: Smallest difference in the current window, in seconds.
        previous_s: Smallest difference in the window before, in seconds.
        window_end: Time of the receiver at which the current window ends.
    """

    def __init__(self) -> None:
        self.smallest_s = float('inf')
        self.previous_s = float('inf')
        self.window_end = 0.0

    def observe(self, sent_at: float, received_at: float) -> float:
        """Return the delay of a message.

        Args:
            sent_at: Time of the sender's clock in seconds.
            received_at: Time of the receiver's clock in seconds.

        Returns:
            Seconds by which the message took longer than the fastest one of
            the last 30 to 60 s; 0 if there is none.
        """
        if received_at >= self.window_end:
            is_recent = received_at < self.window_end + WINDOW_S
            self.previous_s = self.smallest_s if is_recent else float('inf')
            self.smallest_s = float('inf')
            self.window_end = received_at + WINDOW_S
        difference_s = received_at - sent_at
        if difference_s < self.smallest_s:
            self.smallest_s = difference_s
        return difference_s - min(self.smallest_s, self.previous_s)
