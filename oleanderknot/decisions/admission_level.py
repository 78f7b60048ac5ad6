"""Admission level of one upstream, after DAGOR (SoCC 2018)."""

import collections

MAX_LEVEL = 4.0
BINS = 256
BINS_PER_CLASS = 64
WINDOW_S = 0.1

# The target delay is the service time of a call, within these bounds. With
# few slots and long calls, a mean wait of 20 ms leaves a fifth of the slots'
# time unused, since the next slot becomes free later than that.
TARGET_DELAY_S = 0.02
MAX_TARGET_DELAY_S = 0.1

# Shares by which the expected number of admitted calls changes per window.
FALL_SHARE = 0.05
RISE_SHARE = 0.02

# Upper bound of the decrease. While the queue refuses calls in consecutive
# windows, the decrease is half of their share. At 5 % per window, a load of
# three times the capacity of the upstream would waste work in its callers for
# more than 2 s.
MAX_FALL_SHARE = 0.3

# Largest increase in one window. Other nodes raise a reported level at this
# rate, so a faster increase would not bring more calls.
MAX_RISE_PER_WINDOW = 0.1

# Share of the admitted calls that the upstream may refuse before the level is
# lowered. Single refusals have other causes than the number of calls.
MAX_UPSTREAM_REFUSAL_SHARE = 0.1

# Consecutive windows without queueing after which the increase no longer
# doubles.
MAX_RISE_DOUBLINGS = 6

# A delay of at most this share of the previous one counts as decreasing.
SHRINKING_RATIO = 0.95

# Weight of older windows in the exponentially smoothed histogram: one window
# of 100 ms holds too few calls for 256 bins.
OLD_WINDOW_WEIGHT = 0.8

# Bins below the level whose mean density is assumed for the bins above it.
# Other nodes refuse calls above the level, so they do not arrive here and
# cannot be counted.
HIDDEN_DENSITY_BINS = 16


class AdmissionLevel:
    """Adjusts the level so that admitted calls wait about the target delay.

    The delay is the estimate for a call that is queued now. The measured
    delay of started calls lags behind the queue, and a level controlled by it
    oscillated between too many and too few calls.

    Attributes:
        level: Calls with a priority number below it are admitted; 0 to 4.
        window_start: Monotonic time in seconds at which the window started.
        arrivals: Calls of this window, by bin of the priority number; bins
            without a call are missing.
        density: Smoothed number of calls per window, by the same bins.
        delay_s: Estimated wait in seconds of a call that is queued now.
        last_delay_s: ``delay_s`` at the end of the previous window.
        target_delay_s: Target in seconds for ``delay_s``.
        call_queued: Whether a call was queued in this window.
        admitted: Calls admitted in this window.
        refused: Calls refused by the full queue in this window.
        upstream_refusals: Calls refused by the upstream in this window.
        overloaded_windows: Consecutive windows in which the queue lowered the
            level.
        unqueued_windows: Consecutive windows in which no call was queued.
    """

    def __init__(self, *, now: float) -> None:
        self.level = MAX_LEVEL
        self.window_start = now
        self.arrivals: collections.Counter[int] = collections.Counter()
        self.density = [0.0] * BINS
        self.delay_s = 0.0
        self.last_delay_s = 0.0
        self.target_delay_s = TARGET_DELAY_S
        self.call_queued = False
        self.admitted = 0
        self.refused = 0
        self.upstream_refusals = 0
        self.overloaded_windows = 0
        self.unqueued_windows = 0

    def admit(self, priority: float, now: float) -> bool:
        """Count an arriving call and decide whether to admit it.

        Args:
            priority: Priority number of the call.
            now: Monotonic time in seconds.

        Returns:
            Whether the call is admitted.
        """
        self.advance(now)
        self.arrivals[int(priority * BINS_PER_CLASS)] += 1
        if priority >= self.level:
            return False
        self.admitted += 1
        return True

    def update_queue_delay(self, delay_s: float, expected_s: float) -> None:
        """Update the delay and its target after a change of the queue.

        Args:
            delay_s: Estimated wait in seconds of a call that is queued now.
            expected_s: Expected service time in seconds.
        """
        self.delay_s = delay_s
        self.target_delay_s = min(
            MAX_TARGET_DELAY_S, max(TARGET_DELAY_S, expected_s)
        )
        if delay_s > 0:
            self.call_queued = True

    def count_queue_refusal(self) -> None:
        """Count a call refused by the full queue."""
        self.refused += 1

    def count_upstream_refusal(self, priority: float) -> None:
        """Count a call that the upstream refused after all its retries.

        Calls of requests that were admitted before the level fell still
        arrive above it. Their refusals say nothing about those below it, and
        would lower the level until it admits nothing.

        Args:
            priority: Priority number of the call.
        """
        if priority < self.level:
            self.upstream_refusals += 1

    def advance(self, now: float) -> None:
        """Close the windows that ended before ``now``."""
        elapsed_windows = int((now - self.window_start) / WINDOW_S)
        if elapsed_windows <= 0:
            return
        self.window_start += elapsed_windows * WINDOW_S
        self.close_window()
        if elapsed_windows > 1:
            self.skip_idle_windows(elapsed_windows - 1)

    def close_window(self) -> None:
        """Adjust the level to the window that ends, and reset the counters."""
        # Most bins have no call in a window.
        density = [OLD_WINDOW_WEIGHT * old for old in self.density]
        for index, new in self.arrivals.items():
            density[index] += (1 - OLD_WINDOW_WEIGHT) * new
        self.density = density
        self.unqueued_windows = (
            0 if self.call_queued else self.unqueued_windows + 1
        )
        above_target = self.delay_s > self.target_delay_s
        growing = self.delay_s > SHRINKING_RATIO * self.last_delay_s
        upstream_refusal_share = self.upstream_refusals / max(1, self.admitted)
        if self.refused or (above_target and growing):
            self.lower(self.find_fall())
            self.overloaded_windows += 1
        elif upstream_refusal_share > MAX_UPSTREAM_REFUSAL_SHARE:
            self.lower(min(MAX_FALL_SHARE, upstream_refusal_share / 2))
        elif not above_target:
            self.overloaded_windows = 0
            self.rise()
        self.arrivals = collections.Counter()
        self.last_delay_s = self.delay_s
        self.call_queued = self.delay_s > 0
        self.admitted = 0
        self.refused = 0
        self.upstream_refusals = 0

    def find_fall(self) -> float:
        """Return the share by which to reduce the expected admissions."""
        fall = FALL_SHARE * self.delay_s / self.target_delay_s
        if self.overloaded_windows:
            # A single window may be a burst, followed by fewer calls.
            fall = max(fall, self.refused / max(1, self.admitted) / 2)
        return min(MAX_FALL_SHARE, max(FALL_SHARE, fall))

    def skip_idle_windows(self, windows: int) -> None:
        """Account for windows without any call."""
        self.level = min(MAX_LEVEL, self.level + windows * MAX_RISE_PER_WINDOW)
        share = OLD_WINDOW_WEIGHT**windows
        self.density = [value * share for value in self.density]

    def lower(self, fall: float) -> None:
        """Lower the level until expected admissions are reduced by a share."""
        whole, part = divmod(self.level * BINS_PER_CLASS, 1)
        index = int(whole)
        admitted = sum(self.density[:index])
        if part:
            admitted += part * self.density[index]
        left = fall * admitted
        if not left:
            return
        position = self.level * BINS_PER_CLASS
        while position > 0:
            index = int(-(-position // 1)) - 1
            width = position - index
            calls = self.density[index] * width
            if calls >= left:
                position -= width * left / calls
                break
            left -= calls
            position = index
        self.level = position / BINS_PER_CLASS

    def rise(self) -> None:
        """Raise the level until ``RISE_SHARE`` of the arrivals are added.

        The share doubles with each window without queueing: at a constant
        2 % per window, a level of 1.3 would need more than 5 s to recover to
        the maximum.
        """
        if self.level >= MAX_LEVEL:
            return
        left = (
            RISE_SHARE
            * 2 ** min(self.unqueued_windows, MAX_RISE_DOUBLINGS)
            * sum(self.density)
        )
        end = min(MAX_LEVEL, self.level + MAX_RISE_PER_WINDOW) * BINS_PER_CLASS
        position = self.level * BINS_PER_CLASS
        index = int(position)
        below = self.density[max(0, index - HIDDEN_DENSITY_BINS) : index]
        hidden_density = sum(below) / len(below) if below else 0.0
        while position < end:
            index = int(position)
            width = min(index + 1, end) - position
            calls = max(self.density[index], hidden_density) * width
            if calls > left:
                position += width * left / calls
                break
            left -= calls
            position += width
        self.level = min(MAX_LEVEL, position / BINS_PER_CLASS)
