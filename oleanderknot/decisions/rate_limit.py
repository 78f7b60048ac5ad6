"""Limits the requests to an upstream to the rate that it names."""

# Time for which unused requests are saved up. Together with the time that a
# send may take after it was admitted, it must stay below the slack that
# upstreams grant: half of the rate over 4 s, and 5 requests.
BURST_S = 0.25

# Lowest rate per second. With a rate of 0 no answer could end the limit.
MIN_RATE = 0.5

# Time without an answer that names a limit after which an answer without one
# ends it: answers cross, and some are built without the upstream's load.
LIFT_AFTER_S = 1.0

# Waits below this are over: the time of a token is not exact in floating
# point.
MIN_WAIT_S = 1e-6


class RateLimit:
    """Token bucket at the rate that the upstream names in its answers.

    All requests to the upstream pass through it, so in any ``w`` seconds it
    admits at most ``rate * w + max(1, rate * BURST_S)``. The bucket holds one
    token when a limit is first named. A node that restarts admits one request
    more, since its callers tell it the limit with their calls.

    Attributes:
        rate: Requests per second; None without a limit.
        tokens: Requests that may start now.
        counted_at: Monotonic time in seconds up to which ``tokens`` is
            counted.
        named_at: Monotonic time in seconds at which the limit was last named.
        answered: Whether the upstream has answered this node.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget the limit, for a new start of the upstream."""
        self.rate: float | None = None
        self.tokens = 0.0
        self.counted_at = 0.0
        self.named_at = 0.0
        self.answered = False

    def note_answer(self, rate: float | None, now: float) -> None:
        """Note an answer of the upstream.

        Args:
            rate: Requests per second that it names; None if it names none.
            now: Monotonic time in seconds.
        """
        lifts = not self.answered or now - self.named_at >= LIFT_AFTER_S
        self.answered = True
        if rate is not None:
            self.set_rate(rate, now)
        elif lifts:
            self.rate = None

    def adopt(self, rate: float, now: float) -> None:
        """Use a limit that a caller knows, unless the upstream has answered.

        Args:
            rate: Requests per second that the upstream named in an answer to
                the caller.
            now: Monotonic time in seconds.
        """
        if not self.answered:
            self.set_rate(rate, now)

    def set_rate(self, rate: float, now: float) -> None:
        """Set the limit; tokens that were saved up are kept."""
        self.named_at = now
        if self.rate is None:
            self.tokens = 1.0
            self.counted_at = now
        else:
            self.refill(now)
        self.rate = max(MIN_RATE, rate)
        self.tokens = min(self.tokens, self.find_burst())

    def find_burst(self) -> float:
        """Return the largest number of tokens."""
        return max(1.0, self.rate * BURST_S)

    def refill(self, now: float) -> None:
        """Add the tokens of the time that has passed."""
        added = self.rate * max(0.0, now - self.counted_at)
        self.tokens = min(self.find_burst(), self.tokens + added)
        self.counted_at = now

    def find_wait_s(self, now: float) -> float:
        """Return the seconds until a request may start; 0 if one may now."""
        if self.rate is None:
            return 0.0
        self.refill(now)
        wait_s = (1.0 - self.tokens) / self.rate
        return wait_s if wait_s > MIN_WAIT_S else 0.0

    def take(self, now: float) -> None:
        """Count a request that starts."""
        if self.rate is not None:
            self.refill(now)
            self.tokens -= 1.0
