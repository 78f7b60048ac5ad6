"""Tokens and demand of one organisation at the first node of its requests."""

import math

from oleanderknot.decisions import quota_held

# Time whose need is requested from the home at once. Twice this is the
# lifetime of a token, so that a batch is used before it expires.
BATCH_S = 0.25

# Time over which the demand is averaged.
AVERAGE_S = 1.0

# Smallest batch that is requested before it is needed. With one or two
# requests a second at a node, tokens that were requested in advance would
# expire unused, and an organisation within its limit would run out.
MIN_ADVANCE_BATCH = 2


class QuotaClient:
    """Decides how many tokens a first node requests and when.

    Attributes:
        held: Tokens of this node.
        demand: Requests in the recent past, weighted by their age.
        counted_at: Monotonic time in seconds up to which it is weighted.
    """

    __slots__ = ('held', 'demand', 'counted_at')

    def __init__(self) -> None:
        self.held = quota_held.HeldTokens()
        self.demand = 0.0
        self.counted_at = 0.0

    def count(self, now: float) -> None:
        """Count a request, whether it is served or not."""
        age = now - self.counted_at
        if age > 0:
            self.demand *= math.exp(-age / AVERAGE_S)
            self.counted_at = now
        self.demand += 1.0

    def find_need(self, now: float) -> float:
        """Return how many tokens the node needs in ``BATCH_S``."""
        age = max(0.0, now - self.counted_at)
        return self.demand * math.exp(-age / AVERAGE_S) * BATCH_S / AVERAGE_S

    def find_wanted(self, now: float, waiting: int, rate: float) -> int:
        """Return how many tokens to request now; 0 for none.

        Args:
            now: Monotonic time in seconds.
            waiting: Requests that wait for a token.
            rate: Limit of the organisation in requests per second. More
                than its need for the lifetime of tokens could not be used.
        """
        batch = round(min(self.find_need(now), rate * BATCH_S))
        if waiting:
            return max(1, batch, min(waiting, math.ceil(rate * 2 * BATCH_S)))
        if batch >= MIN_ADVANCE_BATCH and self.held.size < batch / 2:
            return batch
        return 0
