"""What one node knows when it chooses upstreams, without a network."""

import random
import types

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import upstream_chooser

SERVICE = 's'
OTHER_SERVICE = 't'
OWN = 'i0'
DATA_CENTRES = ('dc1', 'dc2', 'dc3')


class ChoiceWorld:
    """Owns a chooser and the state that it reads.

    Attributes:
        now: Monotonic time in seconds; steps patch the clock with it.
        numbers: Version of the next record or ticket.
        unreachable: Instances that cannot be reached.
        overdue: Instances that do not respond at the moment.
        own_level: Admission level of the upstream of the own node.
        members: Records of the instances.
        policy: Policy in force.
        rng: Random number generator of the chooser.
        chooser: The chooser.
    """

    def __init__(self, *, seed: int, listed: bool) -> None:
        self.now = 100.0
        self.numbers = 1
        self.unreachable: set[str] = set()
        self.overdue: set[str] = set()
        self.own_level = decisions.MAX_LEVEL
        self.members = decisions.MemberTable()
        self.policy = decisions.PolicyTable()
        self.rng = random.Random(seed)
        self.chooser = upstream_chooser.UpstreamChooser(
            identity=model.NodeIdentity(
                instance=OWN, incarnation=1, data_centre=DATA_CENTRES[0]
            ),
            members=self.members,
            policy=self.policy,
            runner=types.SimpleNamespace(
                service=OTHER_SERVICE,
                find_call_level=lambda call: self.own_level,
            ),
            rng=self.rng,
            shed_nested=False,
            pick=decisions.choose_balanced,
            pick_listed=decisions.choose_listed if listed else None,
            is_node_unreachable=lambda member: (
                member.instance in self.unreachable
            ),
            is_node_overdue=lambda member: member.instance in self.overdue,
            may_lack_nodes=lambda: bool(self.unreachable or self.overdue),
        )

    def put_member(
        self,
        number: int,
        *,
        state: model.MemberState = model.MemberState.TAKING,
        service: str = SERVICE,
        slots: int = 10,
    ) -> None:
        """Merge a newer record of an instance."""
        self.numbers += 1
        self.members.merge(
            [
                model.Member(
                    instance='i%d' % number,
                    incarnation=1,
                    version=self.numbers,
                    state=state,
                    data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                    host='127.0.0.1',
                    peer_port=1,
                    service=service,
                    slots=slots,
                )
            ]
        )

    def put_policy(self, instance: str, taking_work: bool) -> None:
        """Merge a newer policy of an upstream."""
        self.numbers += 1
        self.policy.merge(
            [
                model.ScopeState(
                    scope='upstream/' + instance,
                    number=self.numbers,
                    policy=model.UpstreamPolicy(
                        instance=instance, taking_work=taking_work
                    ),
                )
            ]
        )

    def report(self, instance: str, report: model.LoadReport) -> None:
        """Apply a load report."""
        self.chooser.loads.apply_reports(instance, [report], self.now)

    def choose(
        self, call: model.Call, tried: frozenset[str]
    ) -> model.Member | None:
        """Choose the upstream of a call, which is outstanding from then on."""
        member = self.chooser.choose(call, tried)
        if member is not None:
            self.chooser.loads.find(member).outstanding += 1
        return member
