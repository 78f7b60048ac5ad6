"""Adaptive concurrency limit of one upstream."""

import collections

from oleanderknot.decisions import call_cohort

WINDOW_S = 0.1
BASELINE_S = 30.0
BACK_OFF_FACTOR = 0.9
SLOW_FACTOR = 2.0
COLD_START_SHARE = 0.1

# With fewer calls, a single slow call can shift the median.
MIN_CALLS = 10

# Differences between own times below this come from event loop scheduling.
MIN_MEDIAN_S = 0.005

# Consecutive reductions after which the median own time must have dropped to
# the given ratio. Otherwise the upstream is slow for another reason than the
# number of calls, and a lower limit would only waste its slots.
MAX_SLOW_REDUCTIONS = 2
IMPROVED_RATIO = 0.9


class ConcurrencyLimit:
    """Adjusts the limit by additive increase, multiplicative decrease (AIMD).

    The limit is reduced after failures and when the own time of calls, which
    excludes the wait for their nested calls, is long.

    Attributes:
        slots: Concurrent calls that the upstream says it can run.
        limit: Concurrent calls that are allowed, before rounding.
        cold_start: Whether the limit still increases after a cold start.
        cohort: Calls that start in the current window.
        medians: Time and median own time of past windows, both in seconds.
        backed_off_at: Monotonic time in seconds of the last reduction.
        slow_reductions: Consecutive reductions because of long own times.
        initial_median: Median in seconds at the first of these reductions.
        initial_limit: Limit before the first of these reductions.
    """

    def __init__(self, *, slots: int, now: float, warm: bool = False) -> None:
        self.slots = slots
        self.limit = float(
            slots if warm else max(1.0, slots * COLD_START_SHARE)
        )
        self.cold_start = not warm
        self.cohort = call_cohort.CallCohort(opened_at=now)
        self.medians: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.backed_off_at = now - WINDOW_S
        self.slow_reductions = 0
        self.initial_median = 0.0
        self.initial_limit = 0.0

    def find_max_running(self) -> int:
        """Return the allowed number of concurrent calls."""
        return round(self.limit) or 1

    def start(self, running: int, now: float) -> call_cohort.CallCohort:
        """Record the start of a call.

        Args:
            running: Number of running calls, including this one.
            now: Monotonic time in seconds.

        Returns:
            The cohort to pass to ``finish`` with the outcome of the call.
        """
        cohort = self.cohort
        if now - cohort.opened_at >= WINDOW_S and cohort.started >= MIN_CALLS:
            cohort.closed = True
            if cohort.done == cohort.started:
                self.evaluate(cohort, now)
            cohort = self.cohort = call_cohort.CallCohort(opened_at=now)
        cohort.started += 1
        if running >= self.find_max_running():
            cohort.reached_limit = True
        return cohort

    def finish(
        self,
        cohort: call_cohort.CallCohort,
        now: float,
        *,
        own_time_s: float | None,
        failed: bool = False,
    ) -> None:
        """Record the outcome of a call.

        Args:
            cohort: What ``start`` returned for the call.
            now: Monotonic time in seconds.
            own_time_s: Seconds that the upstream worked on the call, without
                the wait for its nested calls; None when unknown.
            failed: Whether the upstream refused the call or let it time out.
        """
        cohort.done += 1
        if own_time_s is not None:
            cohort.own_times.append(own_time_s)
        if failed and cohort.opened_at >= self.backed_off_at:
            self.back_off(now)
        elif cohort.closed and cohort.done == cohort.started:
            self.evaluate(cohort, now)

    def back_off(self, now: float) -> None:
        """Reduce the limit; calls started before do not reduce it again."""
        self.cold_start = False
        self.limit = max(1.0, self.limit * BACK_OFF_FACTOR)
        self.backed_off_at = now

    def evaluate(self, cohort: call_cohort.CallCohort, now: float) -> None:
        """Adjust the limit to a cohort whose calls have all ended."""
        if cohort.opened_at < self.backed_off_at or not cohort.own_times:
            return
        times = sorted(cohort.own_times)
        median = max(MIN_MEDIAN_S, times[len(times) // 2])
        baseline = self.find_baseline(now)
        if (
            cohort.reached_limit
            and baseline
            and median > SLOW_FACTOR * baseline
        ):
            self.back_off_slow(median, now)
            return
        self.medians.append((now, median))
        self.slow_reductions = 0
        if self.cold_start or cohort.reached_limit:
            self.limit = min(float(self.slots), self.limit + 1)

    def find_baseline(self, now: float) -> float:
        """Return the lowest median of the last 30 s; 0.0 if there is none."""
        medians = self.medians
        while medians and medians[0][0] < now - BASELINE_S:
            medians.popleft()
        return min((median for _, median in medians), default=0.0)

    def forget_times(self) -> None:
        """Discard the medians, since the upstream has started anew."""
        self.medians.clear()
        self.slow_reductions = 0

    def back_off_slow(self, median: float, now: float) -> None:
        """Reduce the limit for long own times, or undo futile reductions."""
        if self.slow_reductions == 0:
            self.initial_median = median
            self.initial_limit = self.limit
        elif self.slow_reductions >= MAX_SLOW_REDUCTIONS:
            if median > IMPROVED_RATIO * self.initial_median:
                self.limit = self.initial_limit
                self.medians.clear()
                self.medians.append((now, median))
                self.slow_reductions = 0
                return
            self.slow_reductions = 0
            self.initial_median = median
            self.initial_limit = self.limit
        self.slow_reductions += 1
        self.back_off(now)
