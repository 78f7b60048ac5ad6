"""Share of the calls to one upstream that fail."""

import dataclasses

# Weight of one call. An upstream that fails every second call is known after
# about five calls, and one success does not clear it.
CALL_WEIGHT = 0.1

# The share halves in this time without a call, so that an upstream that is
# avoided is tried again.
HALF_LIFE_S = 3.0

# A smaller share is as good as none: that of an upstream whose last failure
# is long ago, or that fails one call in a hundred.
MIN_SHARE = 0.01


@dataclasses.dataclass(slots=True, kw_only=True)
class FailureShare:
    """Moving mean of the outcomes of calls.

    Attributes:
        share: Share of failed calls at the last one, from 0 to 1.
        recorded_at: Monotonic time in seconds of the last call.
    """

    share: float = 0.0
    recorded_at: float = 0.0

    def record(self, failed: bool, now: float) -> None:
        """Take the outcome of a call.

        Args:
            failed: Whether it failed at the upstream or on the way.
            now: Monotonic time in seconds.
        """
        if not failed and not self.share:
            return
        share = self.estimate(now)
        self.share = share + CALL_WEIGHT * (failed - share)
        self.recorded_at = now

    def estimate(self, now: float) -> float:
        """Return the share of calls that are thought to fail now.

        Args:
            now: Monotonic time in seconds.
        """
        if not self.share:
            return 0.0
        age = max(0.0, now - self.recorded_at)
        share = self.share * 0.5 ** (age / HALF_LIFE_S)
        if share < MIN_SHARE:
            self.share = 0.0
            return 0.0
        return share
