"""Token stock of the home of an organisation in one data centre."""

# Tokens that all homes together may hold beyond the burst; each holds at least
# one. Without them, requests at random times of an organisation with a small
# burst were refused at 0.62 of its limit: 18 in 100 with 3 requests a second
# and a burst of 3. Operators allow 20 requests in a window beyond the limit.
SPARE_TOKENS = 12.0

# The time of a token is not exact in floating point. The error is below one
# token in a billion.
ROUNDING = 1e-9


class QuotaStock:
    """Token bucket that is filled only while its node may create tokens.

    Attributes:
        rate: Tokens created per second.
        capacity: Largest number of tokens.
        tokens: Tokens in the stock.
        counted_at: Monotonic time in seconds up to which they are counted.
    """

    __slots__ = ('rate', 'capacity', 'tokens', 'counted_at')

    def __init__(self, *, rate: float, burst: float, shares: int) -> None:
        self.tokens = 0.0
        self.counted_at = float('-inf')
        self.configure(rate=rate, burst=burst, shares=shares)

    def configure(self, *, rate: float, burst: float, shares: int) -> None:
        """Set the limit; tokens beyond the new capacity are dropped.

        Args:
            rate: Tokens per second that all data centres create together.
            burst: Tokens that all data centres hold together.
            shares: Number of data centres.
        """
        self.rate = rate / shares
        self.capacity = find_capacity(burst, shares)
        self.tokens = min(self.tokens, self.capacity)

    def refill(self, now: float, since: float, until: float) -> None:
        """Add the tokens of the time that has passed.

        Args:
            now: Monotonic time in seconds.
            since: Time since which the node may create tokens without a
                break. Tokens from before are dropped, since a new home
                starts with none.
            until: Time until which it may create tokens.
        """
        if since > self.counted_at:
            self.tokens = 0.0
            self.counted_at = since
        end = min(now, until)
        if end > self.counted_at:
            added = self.rate * (end - self.counted_at)
            self.tokens = min(self.capacity, self.tokens + added)
            self.counted_at = end

    def discount(self, now: float) -> None:
        """Drop what another home may have created since the last refill.

        A node that leaves passes on only the rest, so that both together
        hold no more than one home may.

        Args:
            now: Monotonic time in seconds.
        """
        created = self.rate * (now - self.counted_at)
        self.tokens = min(self.tokens, max(0.0, self.capacity - created))

    def take(self, wanted: int) -> int:
        """Take up to a number of whole tokens and return how many."""
        taken = min(wanted, int(self.tokens + ROUNDING))
        self.tokens = max(0.0, self.tokens - taken)
        return taken

    def find_wait_s(self, count: float) -> float:
        """Return the seconds until the stock has created more tokens."""
        return max(0.0, count - self.tokens) / self.rate

    def is_full(self) -> bool:
        """Return whether the stock holds as many tokens as it may."""
        return self.tokens >= self.capacity


def find_capacity(burst: float, shares: int) -> float:
    """Return the largest stock of one of several homes."""
    return burst / shares + max(1.0, SPARE_TOKENS / shares)
