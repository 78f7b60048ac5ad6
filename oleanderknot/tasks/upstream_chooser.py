"""Chooses the upstream of a call by the known load of upstreams."""

import collections.abc
import random
import time

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import runner
from oleanderknot.tasks import upstream_lists

PickFunction = collections.abc.Callable[..., decisions.Candidate | None]
PickListedFunction = collections.abc.Callable[
    ..., decisions.ListedUpstream | None
]
MemberPredicate = collections.abc.Callable[[model.Member], bool]

# Share of failed calls up to which the local upstream is chosen without
# comparing it with the others. A single failure stays below it: single errors
# are common, and each call to another instance costs two more messages.
MAX_OWN_FAILURE_SHARE = 0.15

# Priority number that every admission level admits.
ALWAYS_ADMITTED = -1.0


class UpstreamChooser:
    """Owns this node's view of the load of upstreams.

    Attributes:
        identity: Identity of this node.
        members: Known nodes and upstreams.
        policy: Policy in force.
        runner: Runs calls on the local upstream.
        rng: Random number generator.
        loads: Reported and observed load by instance.
        probe_limiter: Limits the rate of calls that probe whether an
            admission level reported long ago has risen.
        suspicions: Instances that have recently failed a call.
        shed_nested: Whether admission levels also apply to nested calls, made
            for a request that an upstream is already processing.
        pick: Chooses one of several candidates.
        pick_listed: Chooses from a kept list as ``pick`` does from
            candidates; None if candidates are built for each call.
        lists: Kept lists of upstreams.
        is_node_unreachable: Returns whether a node is currently unreachable.
        is_node_overdue: Returns whether a node does not respond at the
            moment; it is used only if there is no other.
        may_lack_nodes: Returns whether any node may be unreachable or
            overdue.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        members: decisions.MemberTable,
        policy: decisions.PolicyTable,
        runner: runner.Runner,
        rng: random.Random,
        shed_nested: bool = True,
        pick: PickFunction = decisions.choose_local_first,
        pick_listed: PickListedFunction | None = None,
        is_node_unreachable: MemberPredicate = lambda member: False,
        is_node_overdue: MemberPredicate = lambda member: False,
        may_lack_nodes: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self.is_node_overdue = is_node_overdue
        self.is_node_unreachable = is_node_unreachable
        self.shed_nested = shed_nested
        self.pick = pick
        self.pick_listed = pick_listed
        self.identity = identity
        self.members = members
        self.policy = policy
        self.runner = runner
        self.rng = rng
        self.loads = decisions.LoadView(data_centre=identity.data_centre)
        self.suspicions = decisions.LocalSuspicion()
        self.probe_limiter = decisions.ProbeLimiter()
        self.lists = upstream_lists.UpstreamLists(
            identity=identity,
            members=members,
            policy=policy,
            loads=self.loads,
            is_unreachable=is_node_unreachable,
            is_overdue=is_node_overdue,
            may_lack_nodes=may_lack_nodes,
        )

    def choose(
        self, call: model.Call, tried: collections.abc.Set[str]
    ) -> model.Member | None:
        """Choose the node whose upstream gets the next attempt.

        Args:
            call: The call.
            tried: Instances of earlier attempts.

        Returns:
            The node, or None if no upstream admits the call.
        """
        priority = decisions.rank_call(call)
        if call.depth and not self.shed_nested:
            priority = ALWAYS_ADMITTED
        if not tried and self.has_own_capacity(call, priority):
            return self.members.members.get(self.identity.instance)
        now = time.monotonic()
        if self.pick_listed is not None:
            return self.choose_listed(call, priority, tried, now)
        candidates = self.list_candidates(call, now)
        choice = self.pick(
            candidates,
            priority=priority,
            tried=tried,
            draw=self.rng.randrange,
        )
        if choice is None:
            choice = self.choose_probe(candidates, call, priority, tried, now)
        if choice is None:
            return None
        self.loads.loads[choice.instance].take_turn()
        return self.members.members[choice.instance]

    def choose_listed(
        self,
        call: model.Call,
        priority: float,
        tried: collections.abc.Set[str],
        now: float,
    ) -> model.Member | None:
        """Choose the node as ``choose`` does, from a kept list."""
        listed, suspects = self.lists.find(call.service)
        if self.suspicions.suspected_until:
            suspects |= self.suspicions.list_suspected(now)
        admitting = listed.list_admitting(
            route=call.route,
            priority=priority,
            own_level=self.runner.find_call_level(call)
            if listed.own
            else decisions.MAX_LEVEL,
            now=now,
        )
        if not admitting:
            admitting = listed.list_risen(
                route=call.route, priority=priority, now=now
            )
            if not admitting or not self.probe_limiter.try_acquire(
                (call.service, call.route), now
            ):
                return None
        choice = self.pick_listed(
            admitting,
            groups=listed.groups,
            tried=tried,
            suspects=suspects,
            now=now,
            draw=self.rng.randrange,
        )
        choice.load.take_turn()
        return choice.member

    def choose_probe(
        self,
        candidates: list[decisions.Candidate],
        call: model.Call,
        priority: float,
        tried: collections.abc.Set[str],
        now: float,
    ) -> decisions.Candidate | None:
        """Choose an upstream whose level may have risen since its report."""
        recovered = [
            item
            for item in candidates
            if item.instance != self.identity.instance
            and priority
            < self.loads.loads[item.instance].estimate_level(call.route, now)
        ]
        if not recovered or not self.probe_limiter.try_acquire(
            (call.service, call.route), now
        ):
            return None
        for item in recovered:
            item.level = decisions.MAX_LEVEL
        return self.pick(
            recovered, priority=priority, tried=tried, draw=self.rng.randrange
        )

    def has_own_capacity(self, call: model.Call, priority: float) -> bool:
        """Return whether the local upstream would start a call at once.

        Returns False as well if its share of failed calls is too high, so
        that it is compared with the other upstreams.
        """
        if call.service != self.runner.service:
            return False
        own_load = self.loads.loads.get(self.identity.instance)
        if (
            own_load is not None
            and own_load.failures.estimate(time.monotonic())
            > MAX_OWN_FAILURE_SHARE
        ):
            return False
        return (
            not self.runner.leaving
            and self.policy.accepts_work(self.identity.instance)
            and self.runner.admission.has_room(priority)
            and priority < self.runner.find_call_level(call)
        )

    def list_candidates(
        self, call: model.Call, now: float
    ) -> list[decisions.Candidate]:
        """List the upstreams of a call's service that take work.

        Args:
            call: The call.
            now: Monotonic time in seconds.
        """
        candidates = []
        for member in self.members.list_service(call.service):
            instance = member.instance
            if (
                member.state not in decisions.ADMITTING_STATES
                or not self.policy.accepts_work(instance)
                or self.is_node_unreachable(member)
            ):
                continue
            load = self.loads.find(member)
            candidates.append(
                decisions.build_candidate(
                    load,
                    now,
                    instance=instance,
                    local=member.data_centre == self.identity.data_centre,
                    suspect=member.state is model.MemberState.SUSPECT
                    or self.suspicions.is_suspected(instance, now)
                    or self.is_node_overdue(member),
                    level=self.runner.find_call_level(call)
                    if instance == self.identity.instance
                    else load.find_reported_level(call.route, now),
                )
            )
        return candidates

    def find_service_levels(
        self, service: str, route: str
    ) -> tuple[float, float]:
        """Return the admission levels of a service for a route.

        These are the reported level and the level estimated for now; both are
        0 if none of its upstreams is reachable.
        """
        return self.loads.find_service_levels(
            service,
            route,
            # A generator, since nothing is listed while the cache holds.
            (
                member
                for member in self.members.list_service(service)
                if not self.is_node_unreachable(member)
            ),
            time.monotonic(),
        )
