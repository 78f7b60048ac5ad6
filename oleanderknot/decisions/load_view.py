"""Load of the upstreams that a node calls, from their reports."""

import collections.abc

from oleanderknot import model
from oleanderknot.decisions import group_load
from oleanderknot.decisions import instance_load
from oleanderknot.decisions import route_times

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
        data_centre: Data centre of this node.
        loads: Load by instance.
        groups: Load of all upstreams, by service and data centre.
        times: Times of all upstreams, by service and route.
        version: Number of loads that were created.
        levels: Monotonic time in seconds and value of the cached levels, by
            service and route.
    """

    def __init__(self, *, data_centre: str = '') -> None:
        self.data_centre = data_centre
        self.version = 0
        self.loads: dict[str, instance_load.InstanceLoad] = {}
        self.groups: dict[tuple[str, str], group_load.GroupLoad] = {}
        self.times: dict[tuple[str, str], route_times.RouteTimes] = {}
        self.levels: dict[
            tuple[str, str], tuple[float, tuple[float, float]]
        ] = {}

    def find(self, member: model.Member) -> instance_load.InstanceLoad:
        """Return the load of an instance, created from its slots if new.

        What is known of an upstream of another service is discarded.
        """
        load = self.loads.get(member.instance)
        if load is None or load.service != member.service:
            group = self.find_group(member.service, member.data_centre)
            load = instance_load.InstanceLoad(
                limit=max(1, member.slots),
                service=member.service,
                group=group,
            )
            self.loads[member.instance] = load
            self.version += 1
        return load

    def find_group(
        self, service: str, data_centre: str
    ) -> group_load.GroupLoad:
        """Return the load of a service in a data centre, created if new."""
        group = self.groups.get((service, data_centre))
        if group is None:
            group = group_load.GroupLoad()
            if data_centre != self.data_centre:
                group.half_life_s = group_load.REMOTE_HALF_LIFE_S
            self.groups[service, data_centre] = group
        return group

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
                self.compare_speed(instance, load, report, now)

    def compare_speed(
        self,
        instance: str,
        load: instance_load.InstanceLoad,
        report: model.LoadReport,
        now: float,
    ) -> None:
        """Compare the speed of an upstream with others of its service.

        What was known is discarded when the upstream has started anew.

        Args:
            instance: Instance of the upstream.
            load: Its load.
            report: Its report.
            now: Monotonic time in seconds.
        """
        if report.start != load.start:
            load.start = report.start
            load.forget_speed()
            for (service, _), times in self.times.items():
                if service == report.service:
                    times.remove(instance)
        if report.own_time_s is None:
            return
        times = self.find_times(report.service, report.route)
        load.record_ratio(times.compare(instance, report.own_time_s, now))

    def find_times(self, service: str, route: str) -> route_times.RouteTimes:
        """Return the times of a route, created if new."""
        times = self.times.get((service, route))
        if times is None:
            times = self.times[service, route] = route_times.RouteTimes()
        return times

    def record_call_time(
        self, instance: str, call: model.Call, call_s: float
    ) -> None:
        """Record the time of an answered call.

        Args:
            instance: Instance that answered.
            call: The call.
            call_s: Seconds from the choice to the answer.
        """
        self.loads[instance].record_call_time(call_s)
        self.find_times(call.service, call.route).record_call_time(call_s)

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
