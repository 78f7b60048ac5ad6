"""Keeps the upstreams of each service that take work."""

import collections.abc

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import kept_list

MemberPredicate = collections.abc.Callable[[model.Member], bool]


class UpstreamLists:
    """Owns a list of upstreams for each service that this node calls.

    A list is built anew when the records of members, the policy, the loads
    or the reachability of its upstreams have changed.

    Attributes:
        identity: Identity of this node.
        members: Known nodes and upstreams.
        policy: Policy in force.
        loads: Known load of the upstreams.
        is_unreachable: Returns whether a node is currently unreachable.
        is_overdue: Returns whether a node does not respond at the moment.
        may_lack_nodes: Returns whether any node may be unreachable or
            overdue; otherwise they are not asked about one by one.
        lists: The kept lists, by service.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        members: decisions.MemberTable,
        policy: decisions.PolicyTable,
        loads: decisions.LoadView,
        is_unreachable: MemberPredicate,
        is_overdue: MemberPredicate,
        may_lack_nodes: collections.abc.Callable[[], bool],
    ) -> None:
        self.identity = identity
        self.members = members
        self.policy = policy
        self.loads = loads
        self.is_unreachable = is_unreachable
        self.is_overdue = is_overdue
        self.may_lack_nodes = may_lack_nodes
        self.lists: dict[str, kept_list.KeptList] = {}

    def find(
        self, service: str
    ) -> tuple[decisions.UpstreamList, frozenset[str]]:
        """Return the upstreams of a service that take work.

        Returns:
            The upstreams, and the instances that the members suspect to have
            failed or that are overdue.
        """
        may_lack_nodes = self.may_lack_nodes()
        unreachable = (
            self.find_unreachable(service) if may_lack_nodes else frozenset()
        )
        kept = self.lists.get(service)
        if (
            kept is None
            or kept.member_version != self.members.version
            or kept.policy_version != self.policy.version
            or kept.load_version != self.loads.version
            or kept.unreachable != unreachable
        ):
            kept = self.lists[service] = self.build(service, unreachable)
        listed = kept.upstreams
        if not may_lack_nodes:
            return listed, listed.suspects
        return listed, listed.suspects.union(
            [
                item.instance
                for item in listed.upstreams
                if self.is_overdue(item.member)
            ]
        )

    def build(
        self, service: str, unreachable: frozenset[str]
    ) -> kept_list.KeptList:
        """Build the list of a service without its unreachable upstreams."""
        upstreams = decisions.build_list(
            (
                member
                for member in self.list_accepting(service)
                if member.instance not in unreachable
            ),
            self.loads,
            identity=self.identity,
        )
        # The version of the loads counts those that the list has created.
        return kept_list.KeptList(
            upstreams=upstreams,
            unreachable=unreachable,
            member_version=self.members.version,
            policy_version=self.policy.version,
            load_version=self.loads.version,
        )

    def find_unreachable(self, service: str) -> frozenset[str]:
        """Return the instances of a service that cannot be reached."""
        return frozenset(
            [
                member.instance
                for member in self.list_accepting(service)
                if self.is_unreachable(member)
            ]
        )

    def list_accepting(
        self, service: str
    ) -> collections.abc.Iterator[model.Member]:
        """Return the members of a service that take work."""
        return (
            member
            for member in self.members.list_service(service)
            if member.state in decisions.ADMITTING_STATES
            and self.policy.accepts_work(member.instance)
        )
