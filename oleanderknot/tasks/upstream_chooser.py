"""Chooses the upstream of a call by what this node knows of its load."""

import collections.abc
import random
import time

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import runner

PickFunction = collections.abc.Callable[..., decisions.Candidate | None]
LostFunction = collections.abc.Callable[[model.Member], bool]

# Share of failed calls up to which the own upstream is taken without a look
# at the others. One failure in a row stays below it: single errors are common
# and each call to another instance costs two more messages.
OWN_FAILING_SHARE = 0.15

# Priority number that every level admits.
ALWAYS_ADMITTED = -1.0


class UpstreamChooser:
    """Owns this node's view of other upstreams' load.

    Attributes:
        identity: Identity of this node.
        members: Nodes and upstreams that are known.
        policy: Policy in force.
        runner: Runs calls at the own upstream.
        rng: Source of randomness.
        loads: Load of other upstreams.
        pace: Spaces the calls that test a level which was reported long ago.
        suspicions: Instances that have just failed a call.
        shed_inner: Whether levels also hold for calls of requests that an
            upstream already works on.
        pick: Chooses one of several upstreams.
        is_lost: Returns whether a node cannot be reached at the moment.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        members: decisions.MemberTable,
        policy: decisions.PolicyTable,
        runner: runner.Runner,
        rng: random.Random,
        shed_inner: bool = True,
        pick: PickFunction = decisions.choose_local_first,
        is_lost: LostFunction = lambda member: False,
    ) -> None:
        self.is_lost = is_lost
        self.shed_inner = shed_inner
        self.pick = pick
        self.identity = identity
        self.members = members
        self.policy = policy
        self.runner = runner
        self.rng = rng
        self.loads = decisions.LoadView()
        self.suspicions = decisions.LocalSuspicion()
        self.pace = decisions.ProbeLimiter()

    def choose(
        self, call: model.Call, tried: collections.abc.Set[str]
    ) -> model.Member | None:
        """Choose the node whose upstream gets the next attempt.

        Args:
            call: The call.
            tried: Instances that earlier attempts went to.

        Returns:
            The node, or None when no upstream admits the call.
        """
        priority = decisions.compute_priority(
            call.request_class, call.trace_id
        )
        if call.depth and not self.shed_inner:
            priority = ALWAYS_ADMITTED
        if not tried and self.has_own_room(call, priority):
            return self.members.members.get(self.identity.instance)
        now = time.monotonic()
        candidates = [
            self.build_candidate(member, call, now)
            for member in self.members.list_service(call.service)
            if member.state in decisions.ADMITTING_STATES
            and self.policy.accepts_work(member.instance)
            and not self.is_lost(member)
        ]
        choice = self.pick(
            candidates,
            priority=priority,
            tried=tried,
            draw=self.rng.randrange,
        )
        if choice is None:
            choice = self.pick_probe(candidates, call, priority, tried, now)
        return (
            None if choice is None else self.members.members[choice.instance]
        )

    def pick_probe(
        self,
        candidates: list[decisions.Candidate],
        call: model.Call,
        priority: float,
        tried: collections.abc.Set[str],
        now: float,
    ) -> decisions.Candidate | None:
        """Choose an upstream that may admit more than it has reported."""
        risen = [
            item
            for item in candidates
            if item.instance != self.identity.instance
            and priority
            < self.loads.loads[item.instance].estimate_level(call.route, now)
        ]
        if not risen or not self.pace.try_acquire(
            (call.service, call.route), now
        ):
            return None
        for item in risen:
            item.level = decisions.MAX_LEVEL
        return self.pick(
            risen, priority=priority, tried=tried, draw=self.rng.randrange
        )

    def has_own_room(self, call: model.Call, priority: float) -> bool:
        """Return whether the own upstream would start a call at once.

        One that fails calls is compared with the others.
        """
        known = self.loads.loads.get(self.identity.instance)
        if (
            known is not None
            and known.failures.estimate(time.monotonic()) > OWN_FAILING_SHARE
        ):
            return False
        return (
            call.service == self.runner.service
            and not self.runner.leaving
            and self.policy.accepts_work(self.identity.instance)
            and self.runner.admission.has_room(priority)
            and priority < self.runner.find_call_level(call)
        )

    def build_candidate(
        self, member: model.Member, call: model.Call, now: float
    ) -> decisions.Candidate:
        """Describe an upstream as the choice needs it."""
        load = self.loads.find(member)
        own = member.instance == self.identity.instance
        return decisions.Candidate(
            instance=member.instance,
            local=member.data_centre == self.identity.data_centre,
            suspect=member.state is model.MemberState.SUSPECT
            or self.suspicions.is_suspected(member.instance, now),
            outstanding=load.outstanding,
            in_flight=load.estimate_in_flight(now),
            limit=load.limit,
            level=self.runner.find_call_level(call)
            if own
            else load.find_reported_level(call.route, now),
            failure_share=load.failures.estimate(now),
        )

    def find_service_levels(
        self, service: str, route: str
    ) -> tuple[float, float]:
        """Return the admission levels of a service for a route.

        They are the one that was reported and the one that may hold by now;
        both are 0 when none of its upstreams can be reached.
        """
        return self.loads.find_service_levels(
            service,
            route,
            [
                member
                for member in self.members.list_service(service)
                if not self.is_lost(member)
            ],
            time.monotonic(),
        )
