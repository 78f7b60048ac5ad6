"""Rate limit for calls that probe whether admission has recovered."""

import collections.abc

# Interval between calls that are admitted only because the latest load report
# is outdated. A call that is refused deep in the call tree wastes the work of
# all services above, so probes must be rare. The first probe that succeeds
# already reports a recovered admission level.
PROBE_INTERVAL_S = 0.5


class ProbeLimiter:
    """Limits each target to one probe per interval.

    Attributes:
        next_at: Monotonic time in seconds at which the next probe is
            allowed, by target.
    """

    def __init__(self) -> None:
        self.next_at: dict[collections.abc.Hashable, float] = {}

    def try_acquire(
        self, target: collections.abc.Hashable, now: float
    ) -> bool:
        """Return whether a probe is allowed now, and record it if so.

        Args:
            target: Key of the probed target.
            now: Monotonic time in seconds.
        """
        if now < self.next_at.get(target, 0.0):
            return False
        self.next_at[target] = now + PROBE_INTERVAL_S
        return True
