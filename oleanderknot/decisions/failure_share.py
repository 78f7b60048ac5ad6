"""Moving average of the share of failed calls to one upstream."""

import dataclasses
import math

# Weight of one call in the average. An upstream that fails every second call
# is detected after about five calls, and one success does not clear it.
CALL_WEIGHT = 0.1

# Without calls, the share decays with this half-life, so that an avoided
# upstream is tried again.
HALF_LIFE_S = 3.0

# A smaller share counts as 0: the last failure of the upstream is long ago, or
# it fails one call in a hundred.
MIN_SHARE = 0.01

# Time after which a share counts as 0 at the latest without another failure.
MAX_MEMORY_S = 1.01 * HALF_LIFE_S * math.log2(1.0 / MIN_SHARE)


@dataclasses.dataclass(slots=True, kw_only=True)
class FailureShare:
    """Exponential moving average of call failures.

    Attributes:
        share: Share of failed calls at the last update, from 0 to 1.
        recorded_at: Monotonic time in seconds of the last update.
    """

    share: float = 0.0
    recorded_at: float = 0.0

    def record(self, failed: bool, now: float) -> None:
        """Add the outcome of a call to the average.

        Args:
            failed: Whether it failed at the upstream or on the connection.
            now: Monotonic time in seconds.
        """
        if not failed and not self.share:
            return
        share = self.estimate(now)
        self.share = share + CALL_WEIGHT * (failed - share)
        self.recorded_at = now

    def estimate(self, now: float) -> float:
        """Return the estimated share of calls that fail now.

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
