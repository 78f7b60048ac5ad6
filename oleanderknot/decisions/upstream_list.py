"""List of the upstreams of a service that take work."""

import collections.abc
import dataclasses

from oleanderknot import model
from oleanderknot.decisions import group_load
from oleanderknot.decisions import instance_load
from oleanderknot.decisions import listed_upstream
from oleanderknot.decisions import load_view


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamList:
    """Upstreams of a service that take work, in the order of their records.

    Attributes:
        upstreams: The upstreams.
        groups: Load of their data centres.
        suspects: Instances that the members suspect to have failed.
        own: Instance of the calling node if its upstream is listed, or ''.
    """

    upstreams: list[listed_upstream.ListedUpstream]
    groups: tuple[group_load.GroupLoad, ...]
    suspects: frozenset[str]
    own: str

    def list_admitting(
        self, *, route: str, priority: float, own_level: float, now: float
    ) -> list[listed_upstream.ListedUpstream]:
        """Return the upstreams whose admission level admits a call.

        Args:
            route: Path prefix of the route.
            priority: Priority number of the call.
            own_level: Level of the upstream of the calling node.
            now: Monotonic time in seconds.
        """
        if priority < min(own_level, instance_load.MAX_LEVEL) and not any(
            [now < group.limited_until for group in self.groups]
        ):
            return self.upstreams
        return [
            item
            for item in self.upstreams
            if priority
            < (
                own_level
                if item.instance == self.own
                else item.load.find_reported_level(route, now)
            )
        ]

    def list_risen(
        self, *, route: str, priority: float, now: float
    ) -> list[listed_upstream.ListedUpstream]:
        """Return the upstreams of other nodes whose level may have risen.

        Args:
            route: Path prefix of the route.
            priority: Priority number of a call that the reported levels do
                not admit.
            now: Monotonic time in seconds.
        """
        return [
            item
            for item in self.upstreams
            if item.instance != self.own
            and priority < item.load.estimate_level(route, now)
        ]


def build_list(
    members: collections.abc.Iterable[model.Member],
    loads: load_view.LoadView,
    *,
    identity: model.NodeIdentity,
) -> UpstreamList:
    """Build the list of the upstreams of a service.

    Args:
        members: Records of the instances that take work.
        loads: Known load of the upstreams.
        identity: Identity of the calling node.
    """
    upstreams = [
        listed_upstream.ListedUpstream(
            instance=member.instance,
            member=member,
            load=loads.find(member),
            local=member.data_centre == identity.data_centre,
        )
        for member in members
    ]
    groups = {id(item.load.group): item.load.group for item in upstreams}
    names = {item.instance for item in upstreams}
    return UpstreamList(
        upstreams=upstreams,
        groups=tuple(groups.values()),
        suspects=frozenset(
            item.instance
            for item in upstreams
            if item.member.state is model.MemberState.SUSPECT
        ),
        own=identity.instance if identity.instance in names else '',
    )
