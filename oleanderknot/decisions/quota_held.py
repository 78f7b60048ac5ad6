"""Tokens that a node has received and that expire."""

import bisect


class HeldTokens:
    """Batches of tokens in the order of their expiry.

    A node holds few batches of each organisation at a time.

    Attributes:
        batches: Expiry time in seconds and number of tokens of each batch.
        sources: Time from which tokens were taken from a batch, and its
            expiry, for tokens that are given back.
        size: Number of tokens, including expired ones that are still here.
        expired: Number of tokens that have expired so far.
    """

    __slots__ = ('batches', 'sources', 'size', 'expired')

    def __init__(self) -> None:
        self.batches: list[list] = []
        self.sources: list[tuple[float, float]] = []
        self.size = 0
        self.expired = 0

    def add(self, count: int, expires_at: float) -> None:
        """Add tokens that expire at a monotonic time in seconds."""
        if count <= 0:
            return
        self.size += count
        if self.batches and expires_at < self.batches[-1][0]:
            index = bisect.bisect_right(
                self.batches, expires_at, key=lambda batch: batch[0]
            )
            self.batches.insert(index, [expires_at, count])
        else:
            self.batches.append([expires_at, count])

    def take(self, now: float) -> bool:
        """Take one token that has not expired, if there is one."""
        if not self.size:
            return False
        if self.batches[0][0] <= now:
            self.drop_expired(now)
            if not self.size:
                return False
        batch = self.batches[0]
        expires_at = batch[0]
        if not self.sources or self.sources[-1][1] != expires_at:
            self.sources.append((now, expires_at))
        self.size -= 1
        batch[1] -= 1
        if not batch[1]:
            del self.batches[0]
        return True

    def take_many(self, wanted: int, now: float) -> tuple[int, float]:
        """Take up to a number of tokens.

        Returns:
            How many were taken, and when the first of them expires.
        """
        if not self.size:
            return 0, float('inf')
        self.drop_expired(now)
        expires_at = self.batches[0][0] if self.batches else float('inf')
        taken = 0
        while taken < wanted and self.take(now):
            taken += 1
        return taken, expires_at

    def give_back(self, taken_at: float, now: float) -> bool:
        """Return a token that was not used; it expires when it would have.

        Args:
            taken_at: Time in seconds at which it was taken.
            now: Monotonic time in seconds.

        Returns:
            Whether it can still be used.
        """
        for since, expires_at in reversed(self.sources):
            if since <= taken_at:
                if expires_at > now:
                    self.add(1, expires_at)
                return expires_at > now
        return False

    def drop_expired(self, now: float) -> None:
        """Drop the tokens that have expired."""
        while self.batches and self.batches[0][0] <= now:
            dropped = self.batches.pop(0)[1]
            self.size -= dropped
            self.expired += dropped
        while self.sources and self.sources[0][1] <= now:
            del self.sources[0]
