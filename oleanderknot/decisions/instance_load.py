"""Load of one upstream as estimated by another node."""

import dataclasses
import math

from oleanderknot import model
from oleanderknot.decisions import admission_level
from oleanderknot.decisions import failure_share
from oleanderknot.decisions import group_load

MAX_LEVEL = admission_level.MAX_LEVEL

# Rate at which a reported admission level is raised without a new report; this
# makes a node try an upstream again after refusals.
LEVEL_RISE_PER_S = 1.0

# Age below which a reported level is used unchanged: one window of the level.
# Raising it immediately sent about 3 % of a class above the level between two
# answers.
REPORT_FRESH_S = 0.1

# Time for which upstreams count as limited beyond the estimate of their level.
LIMITED_MARGIN_S = 0.01

# Longest half-life of the difference between the reported number of calls and
# the mean of the group. Otherwise, an upstream that was busy at its last
# report would be avoided for as long as it is not called again.
IN_FLIGHT_HALF_LIFE_S = 0.5

# Half-life of that difference, relative to the time of a call. A call ends
# half of its time after a report on average, and others take its place.
CALL_TIME_SHARE = 0.25

# Age, in half-lives, after which a report tells nothing more.
MAX_HALF_LIVES = 7.0

# Exponent of the relative time in the factor of an upstream's load. At 0, all
# upstreams would be equally loaded; at 1, one that is twice as slow would get
# a quarter of the calls, and callers would be served earliest on a calm day.
# Slots of slow upstreams would then stay unused until the others are full.
SPEED_EXPONENT = 0.1

# Weight of one call or report in the moving averages.
TIME_WEIGHT = 0.1

# Shortest retry delay for a refused caller: one window of the level.
RETRY_AFTER_S = 0.1


@dataclasses.dataclass(slots=True, kw_only=True)
class InstanceLoad:
    """Last reported and locally observed load of one upstream.

    Attributes:
        limit: Reported concurrency limit; the slots of the upstream at first.
        service: Service of the upstream.
        group: Load of the upstreams of the same service and data centre.
        outstanding: Unanswered calls of this node.
        in_flight: Number of calls of other nodes at the last report.
        reported_at: Monotonic time in seconds of the last report.
        half_life_s: Half-life in seconds of what a report tells.
        turn: Turn of the upstream in its group.
        start: Number of the start of the upstream, from the last report.
        relative_time: Time that it works on a call, relative to the mean of
            its service.
        speed_cost: Factor of its load in the choice.
        levels: Reported admission level and monotonic time of its report in
            seconds, by route.
        notice: What the upstream says about itself, from the last report;
            None for nothing.
        failures: Share of failed calls of this node.
    """

    limit: int
    service: str = ''
    group: group_load.GroupLoad = dataclasses.field(
        default_factory=group_load.GroupLoad
    )
    outstanding: int = 0
    in_flight: int = 0
    reported_at: float = -math.inf
    half_life_s: float = IN_FLIGHT_HALF_LIFE_S
    turn: float = 0.0
    start: int | None = None
    relative_time: float = 1.0
    speed_cost: float = 1.0
    notice: model.UpstreamNotice | None = None
    levels: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    failures: failure_share.FailureShare = dataclasses.field(
        default_factory=failure_share.FailureShare
    )

    def apply_report(self, report: model.LoadReport, now: float) -> None:
        """Update the load from a report.

        Args:
            report: Report of the node beside the upstream.
            now: Monotonic time in seconds.
        """
        # The report counts the calls of this node as well.
        self.in_flight = max(0, report.in_flight - self.outstanding)
        self.reported_at = now
        self.limit = max(1, report.limit)
        self.group.record(self.in_flight / self.limit, now)
        self.notice = report.notice
        self.levels[report.route] = (report.level, now)
        if report.level < MAX_LEVEL:
            self.group.limited_until = max(
                self.group.limited_until, find_limited_until(report.level, now)
            )

    def estimate_in_flight(self, now: float, usual_load: float = 0.0) -> float:
        """Return the estimated number of calls of other nodes.

        What the other nodes have sent since the report is estimated by what
        they keep at the upstreams of the group on average: the difference to
        this mean fades with the age of the report.

        Args:
            now: Monotonic time in seconds.
            usual_load: Mean load of the group, as a share of the limit.
        """
        usual = usual_load * self.limit
        half_lives = (now - self.reported_at) / self.half_life_s
        if half_lives > MAX_HALF_LIVES:
            return usual
        if half_lives <= 0.0:
            return self.in_flight
        return usual + (self.in_flight - usual) * 0.5**half_lives

    def record_call_time(self, call_s: float) -> None:
        """Adjust the half-life of reports to the time of a call.

        Args:
            call_s: Seconds from the choice to the answer of a call.
        """
        wanted_s = min(IN_FLIGHT_HALF_LIFE_S, CALL_TIME_SHARE * call_s)
        self.half_life_s += TIME_WEIGHT * (wanted_s - self.half_life_s)

    def record_outcome(self, failed: bool, now: float) -> None:
        """Add the outcome of a call to the share of failed calls.

        Args:
            failed: Whether it failed at the upstream or on the connection.
            now: Monotonic time in seconds.
        """
        self.failures.record(failed, now)
        if failed:
            self.group.failing_until = now + failure_share.MAX_MEMORY_S

    def record_ratio(self, ratio: float) -> None:
        """Adjust the relative time.

        Args:
            ratio: Reported time, relative to the mean of the service.
        """
        self.relative_time += TIME_WEIGHT * (ratio - self.relative_time)
        self.speed_cost = self.relative_time**SPEED_EXPONENT

    def forget_speed(self) -> None:
        """Discard what is known of the speed."""
        self.relative_time = self.speed_cost = 1.0

    def take_turn(self) -> None:
        """Record that the upstream was chosen."""
        self.turn = self.group.take_turn(
            self.turn, self.relative_time * self.speed_cost / self.limit
        )

    def find_reported_level(self, route: str, now: float) -> float:
        """Return the reported admission level.

        Args:
            route: Path prefix of the route.
            now: Monotonic time in seconds.

        Returns:
            A level from 0 to 4; 4 without a report, or when the report is too
            old to be of use.
        """
        reported = self.levels.get(route)
        if reported is None:
            return MAX_LEVEL
        level, reported_at = reported
        if (
            level >= MAX_LEVEL
            or extrapolate_level(level, now - reported_at) >= MAX_LEVEL
        ):
            return MAX_LEVEL
        return level

    def estimate_level(self, route: str, now: float) -> float:
        """Return the admission level that is estimated from the last report.

        Args:
            route: Path prefix of the route.
            now: Monotonic time in seconds.

        Returns:
            A level from 0 to 4.
        """
        reported = self.levels.get(route)
        if reported is None:
            return MAX_LEVEL
        level, reported_at = reported
        return extrapolate_level(level, now - reported_at)


def find_limited_until(level: float, reported_at: float) -> float:
    """Return a time from which on a level is estimated as the maximum.

    It is late enough for any error of rounding.

    Args:
        level: Reported level.
        reported_at: Monotonic time in seconds of its report.
    """
    rise_s = (MAX_LEVEL - level) / LEVEL_RISE_PER_S
    return reported_at + REPORT_FRESH_S + rise_s + LIMITED_MARGIN_S


def extrapolate_level(level: float, age_s: float) -> float:
    """Return the estimate of a level some time after its report.

    Args:
        level: Reported level.
        age_s: Seconds since the report.
    """
    rise = LEVEL_RISE_PER_S * max(0.0, age_s - REPORT_FRESH_S)
    return min(MAX_LEVEL, level + rise)


def estimate_wait_ms(priority: float, level: float) -> int:
    """Return the milliseconds until a refused call may be admitted.

    Args:
        priority: Priority number of the call.
        level: Admission level that refused it.
    """
    gap = max(0.0, priority - level)
    return int(1000 * (RETRY_AFTER_S + gap / LEVEL_RISE_PER_S))
