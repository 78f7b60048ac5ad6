"""Progress of a transfer from or to a client or another node."""

# Length of the window over which the rate is measured. Shorter ones would
# call a client slow that waits for a lost packet to be sent again.
WINDOW_S = 1.0

# Rate below which a transfer counts as slow and gives way when memory is
# short. A mobile client on a poor link is faster; at this rate the largest
# body would take 17 minutes.
SLOW_BYTES_PER_S = 64 * 1024


class TransferProgress:
    """Measures the rate of a transfer and whether it goes on at all.

    Attributes:
        rate: Bytes per second in the latest complete window; None before
            the end of the first.
        window_at: Start of the current window.
        window_bytes: Bytes transferred at the start of the window.
        period_at: Start of the current period.
        period_bytes: Bytes transferred at the start of the period.
    """

    def __init__(self, *, now: float, transferred: int) -> None:
        self.restart(now, transferred)

    def restart(self, now: float, transferred: int) -> None:
        """Start to measure another transfer.

        Args:
            now: Time in seconds.
            transferred: Bytes counted so far, of earlier transfers.
        """
        self.rate: float | None = None
        self.window_at = self.period_at = now
        self.window_bytes = self.period_bytes = transferred

    def observe(self, now: float, transferred: int, min_bytes: int) -> None:
        """Take note of the bytes transferred so far.

        Args:
            now: Time in seconds.
            transferred: Bytes counted so far.
            min_bytes: Bytes with which a new period starts.
        """
        elapsed = now - self.window_at
        if elapsed >= WINDOW_S:
            self.rate = (transferred - self.window_bytes) / elapsed
            self.window_at = now
            self.window_bytes = transferred
        if transferred - self.period_bytes >= min_bytes:
            self.period_at = now
            self.period_bytes = transferred

    def is_slow(self) -> bool:
        """Return whether the transfer is known to be slow."""
        return self.rate is not None and self.rate < SLOW_BYTES_PER_S

    def is_stalled(self, now: float, period_s: float) -> bool:
        """Return whether too few bytes were transferred for a whole period."""
        return now - self.period_at >= period_s
