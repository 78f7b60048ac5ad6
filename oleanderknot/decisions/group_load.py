"""Load of the upstreams of one service in one data centre."""

import dataclasses
import math

# Weight of one report in the moving average. The first reports have more, so
# that upstreams without a report are not taken for idle meanwhile.
REPORT_WEIGHT = 0.05

# Half-life of the average without reports, in the own data centre and in
# others. Otherwise, a group that was full at its last report would not be
# called again. With a short one, a group of another data centre would seem to
# be idle soon after each call to it.
LOCAL_HALF_LIFE_S = 1.0
REMOTE_HALF_LIFE_S = 5.0

# Number of calls by which an upstream may be behind the others in turn. An
# upstream that was left out because it was full would otherwise receive all
# calls that it has missed at once.
MAX_BEHIND_CALLS = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class GroupLoad:
    """What a node knows of the upstreams of a service in a data centre.

    Many nodes choose from reports of the same age. Where these are too old
    to tell upstreams apart, each node uses them in turn, in proportion to
    their capacity.

    Attributes:
        half_life_s: Half-life of the mean in seconds without reports.
        load: Mean number of calls of other nodes for each call that an
            upstream may run.
        reported_at: Monotonic time in seconds of the last report.
        reports: Number of reports, up to the one from which on all have the
            same weight.
        turn: Turn that has been reached, as a number of calls for each call
            that an upstream may run.
        lowest_turn: Turn that an upstream has at least.
        estimated_at: Monotonic time in seconds of the last estimate.
        estimated: The last estimate; a choice asks once for each upstream.
        limited_until: Monotonic time in seconds from which on all admission
            levels reported so far are at their maximum again.
        failing_until: Monotonic time in seconds from which on the shares of
            failed calls are 0, unless more calls fail.
    """

    half_life_s: float = LOCAL_HALF_LIFE_S
    load: float = 0.0
    reported_at: float = 0.0
    reports: int = 0
    turn: float = 0.0
    lowest_turn: float = 0.0
    estimated_at: float = -1.0
    estimated: float = 0.0
    limited_until: float = -math.inf
    failing_until: float = -math.inf

    def record(self, load: float, now: float) -> None:
        """Add a report to the average.

        Args:
            load: Calls of other nodes at an upstream, as a share of its limit.
            now: Monotonic time in seconds.
        """
        # The mean does not fade here, or rare reports would lower it.
        age = max(0.0, now - self.reported_at)
        weight = max(REPORT_WEIGHT, 1.0 - 0.5 ** (age / self.half_life_s))
        if self.reports * REPORT_WEIGHT < 1:
            self.reports += 1
            weight = max(weight, 1 / self.reports)
        self.load += weight * (load - self.load)
        self.reported_at = now
        self.estimated_at = -1.0

    def estimate(self, now: float) -> float:
        """Return the estimated mean load.

        Args:
            now: Monotonic time in seconds.
        """
        if now != self.estimated_at:
            age = max(0.0, now - self.reported_at)
            self.estimated = self.load * 0.5 ** (age / self.half_life_s)
            self.estimated_at = now
        return self.estimated

    def take_turn(self, turn: float, step: float) -> float:
        """Return the next turn of an upstream that a call was sent to.

        Args:
            turn: Its turn until now.
            step: Capacity that a call takes, as a share of its limit.
        """
        turn = max(turn, self.lowest_turn)
        if turn >= self.turn:
            self.turn = turn
            self.lowest_turn = turn - MAX_BEHIND_CALLS * step
        return turn + step

    def find_lead(self, turn: float) -> float:
        """Return how far an upstream is ahead of the turn of the group.

        Args:
            turn: Turn of the upstream.

        Returns:
            The lead, as a share of its limit; negative if it is behind.
        """
        return max(turn, self.lowest_turn) - self.turn
