"""Retry budget of a node as a share of its successes."""

import collections

# Window in seconds of a node without a setting of its own.
DEFAULT_WINDOW_S = 10.0


class RetryBudget:
    """Counts successes and retries in one-second buckets.

    Unlike a ``RepeatBudget``, it knows of no other nodes. A ``RepeatBudget``
    uses one to count first calls in place of successes.

    Attributes:
        window_s: Length of the sliding window in seconds.
        buckets: Second, successes and retries of each bucket, oldest first.
        successes: Successes within the window.
        retries: Retries within the window.
    """

    def __init__(self, *, window_s: float = DEFAULT_WINDOW_S) -> None:
        self.window_s = window_s
        self.buckets: collections.deque[list[int]] = collections.deque()
        self.successes = 0
        self.retries = 0

    def advance(self, now: float) -> list[int]:
        """Drop buckets older than the window and return the current one.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The bucket of the current second.
        """
        second = int(now)
        buckets = self.buckets
        while buckets and buckets[0][0] <= second - self.window_s:
            _, successes, retries = buckets.popleft()
            self.successes -= successes
            self.retries -= retries
        if not buckets or buckets[-1][0] != second:
            buckets.append([second, 0, 0])
        return buckets[-1]

    def count_base(self, now: float) -> None:
        """Count a call of the base that the retry ratio applies to."""
        self.advance(now)[1] += 1
        self.successes += 1

    def take(self, now: float, ratio: float, minimum: int) -> bool:
        """Spend one retry if the budget allows it.

        Args:
            now: Monotonic time in seconds.
            ratio: Retries allowed as a share of the successes.
            minimum: Retries allowed in addition to the ratio.

        Returns:
            Whether the retry may run.
        """
        self.advance(now)
        if self.retries >= minimum + ratio * self.successes:
            return False
        self.count_retry(now)
        return True

    def count_retry(self, now: float) -> None:
        """Count a retry."""
        self.advance(now)[2] += 1
        self.retries += 1

    def find_remaining(self, now: float, ratio: float, minimum: int) -> int:
        """Return the number of retries left in the budget.

        Args:
            now: Monotonic time in seconds.
            ratio: Retries allowed as a share of the successes.
            minimum: Retries allowed in addition to the ratio.
        """
        self.advance(now)
        return max(0, int(minimum + ratio * self.successes) - self.retries)
