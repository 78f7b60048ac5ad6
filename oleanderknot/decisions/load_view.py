"""Load of the upstreams that a node calls, from their reports."""

import collections.abc

from oleanderknot import model
from oleanderknot.decisions import instance_load

# Levels change every 100 ms. A result is cached for this time, since iterating
# over all upstreams of a service for each answer would cost more than the
# answer itself.
LEVEL_CACHE_S = 0.01

# Reports that are older than the newest one by more than this are ignored.
MAX_REPORT_LAG_S = 0.3

ADMITTING_STATES = (model.MemberState.TAKING, model.MemberState.SUSPECT)


class LoadView:
    """Keeps the load of each upstream that this node has called.

    Attributes:
        loads: Load by instance.
        levels: Monotonic time in seconds and value of the cached levels, by
            service and route.
    """

    def __init__(self) -> None:
        self.loads: dict[str, instance_load.InstanceLoad] = {}
        self.levels: dict[
            tuple[str, str], tuple[float, tuple[float, float]]
        ] = {}

    def find(self, member: model.Member) -> instance_load.InstanceLoad:
        """Return the load of an instance, created from its slots if new."""
        load = self.loads.get(member.instance)
        if load is None:
            load = instance_load.InstanceLoad(limit=max(1, member.slots))
            self.loads[member.instance] = load
        return load

    def apply_reports(
        self,
        instance: str,
        reports: collections.abc.Iterable[model.LoadReport],
        now: float,
    ) -> None:
        """Apply the load reports that an answer carries.

        Args:
            instance: Instance that answered.
            reports: Its reports.
            now: Monotonic time in seconds.
        """
        load = self.loads.get(instance)
        if load is not None:
            for report in reports:
                load.apply_report(report, now)

    def find_service_levels(
        self,
        service: str,
        route: str,
        members: collections.abc.Iterable[model.Member],
        now: float,
    ) -> tuple[float, float]:
        """Return the highest levels among the upstreams of a service.

        A call that one upstream admits is admitted by the service. Only the
        newest reports count: a node receives fewer reports from remote
        upstreams, and an old report of one with free capacity would hide that
        all are full now.

        Args:
            service: Name of the service.
            route: Path prefix of the route.
            members: Records of the service's instances that can be reached.
            now: Monotonic time in seconds.

        Returns:
            The reported and the estimated current level, from 0 to 4; 4 when
            nothing was reported, and 0 when no upstream is left.
        """
        cached = self.levels.get((service, route))
        if cached is not None and now - cached[0] < LEVEL_CACHE_S:
            return cached[1]
        taking = [self.find(item) for item in list_admitting(members)]
        if not taking:
            return 0.0, 0.0
        reports_heard = [
            load.levels[route] for load in taking if route in load.levels
        ]
        newest = max(
            (reported_at for _, reported_at in reports_heard), default=0.0
        )
        reported = estimated = (
            instance_load.MAX_LEVEL if not reports_heard else 0.0
        )
        for level, reported_at in reports_heard:
            if newest - reported_at > MAX_REPORT_LAG_S:
                continue
            estimate = instance_load.extrapolate_level(
                level, now - reported_at
            )
            estimated = max(estimated, estimate)
            if estimate >= instance_load.MAX_LEVEL:
                level = estimate
            reported = max(reported, level)
        levels = (reported, estimated)
        self.levels[(service, route)] = (now, levels)
        return levels


def list_admitting(
    members: collections.abc.Iterable[model.Member],
) -> collections.abc.Iterator[model.Member]:
    """Return the members whose upstreams may receive calls."""
    return (item for item in members if item.state in ADMITTING_STATES)
