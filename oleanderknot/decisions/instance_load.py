"""Load of one upstream as another node sees it."""

import dataclasses

from oleanderknot import model
from oleanderknot.decisions import admission_level
from oleanderknot.decisions import failure_share

MAX_LEVEL = admission_level.MAX_LEVEL

# Levels that a reported admission level regains each second without a new
# report; this is how a node probes an upstream again after refusals.
LEVEL_RISE_PER_S = 1.0

# A report counts as renewed for one window of the level. A rise from the
# first moment sent about 3 % of a class above the level between two answers.
REPORT_FRESH_S = 0.1

# The reported number of calls halves in this time without a new report. An
# upstream whose last report came from a busy moment would otherwise be avoided
# for as long as it is not asked again.
IN_FLIGHT_HALF_LIFE_S = 0.5

# Shortest wait that a refused caller is told: one window of the level.
RETRY_AFTER_S = 0.1


@dataclasses.dataclass(slots=True, kw_only=True)
class InstanceLoad:
    """What a node knows about the load of one upstream.

    Attributes:
        limit: Concurrency limit, reported or the upstream's slots.
        outstanding: Calls of this node that the upstream has not answered.
        in_flight: Calls that the upstream's node reported last.
        reported_at: Monotonic time in seconds of the last report.
        levels: Admission level and time of its report in seconds, by route.
        failures: Calls of this node that failed there.
    """

    limit: int
    outstanding: int = 0
    in_flight: int = 0
    reported_at: float = 0.0
    levels: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    failures: failure_share.FailureShare = dataclasses.field(
        default_factory=failure_share.FailureShare
    )

    def apply_report(self, report: model.LoadReport, now: float) -> None:
        """Take a load report.

        Args:
            report: The report of the upstream's node.
            now: Monotonic time in seconds.
        """
        self.in_flight = report.in_flight
        self.reported_at = now
        self.limit = max(1, report.limit)
        self.levels[report.route] = (report.level, now)

    def estimate_in_flight(self, now: float) -> float:
        """Return how many calls the upstream is thought to have.

        Args:
            now: Monotonic time in seconds.
        """
        age = max(0.0, now - self.reported_at)
        return self.in_flight * 0.5 ** (age / IN_FLIGHT_HALF_LIFE_S)

    def find_reported_level(self, route: str, now: float) -> float:
        """Return the admission level that the upstream has reported.

        Args:
            route: Path prefix of the route.
            now: Monotonic time in seconds.

        Returns:
            A level from 0 to 4; 4 when the report is so old that it says
            nothing any more.
        """
        if self.estimate_level(route, now) >= MAX_LEVEL:
            return MAX_LEVEL
        return self.levels[route][0]

    def estimate_level(self, route: str, now: float) -> float:
        """Return the admission level that the upstream may have by now.

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


def extrapolate_level(level: float, age_s: float) -> float:
    """Return what a reported level may have become.

    Args:
        level: The level that was reported.
        age_s: Seconds since the report.
    """
    rise = LEVEL_RISE_PER_S * max(0.0, age_s - REPORT_FRESH_S)
    return min(MAX_LEVEL, level + rise)


def estimate_wait_ms(priority: float, level: float) -> int:
    """Return in how many milliseconds a refused call may be admitted.

    Args:
        priority: Priority number of the call.
        level: Admission level that refused it.
    """
    gap = max(0.0, priority - level)
    return int(1000 * (RETRY_AFTER_S + gap / LEVEL_RISE_PER_S))
