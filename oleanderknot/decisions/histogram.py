"""Cumulative histogram of durations."""

import bisect
import collections.abc
import itertools


class Histogram:
    """Counts durations by bucket.

    Attributes:
        bounds: Inclusive upper bounds of the buckets in rising order.
        counts: Number of durations in each bucket; the last one holds those
            above all bounds.
        total: Sum of all durations in seconds.
    """

    def __init__(self, *, bounds: collections.abc.Sequence[float]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Count a duration."""
        self.counts[bisect.bisect_left(self.bounds, seconds)] += 1
        self.total += seconds

    def list_buckets(self) -> list[tuple[str, int]]:
        """Return the upper bound of each bucket and the count up to it."""
        labels = [*map(str, self.bounds), '+Inf']
        return list(
            zip(labels, itertools.accumulate(self.counts), strict=True)
        )
