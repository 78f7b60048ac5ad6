"""Failure detector of the membership protocol."""

import asyncio
import collections.abc
import itertools
import random
import time

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import gossip_kind
from oleanderknot.tasks import membership
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import task_log

# Responses that arrive after this time are ignored.
ANSWER_S = 3.0

# Period of the removal of expired records from the table of members.
FORGET_PERIOD_S = 60.0


class Prober:
    """Probes members and reports those that do not respond.

    Attributes:
        members: Membership of this node.
        pool: Connections to other nodes.
        rng: Source of randomness.
        schedule: Decides which members to probe and which step follows.
        waiting: Callbacks for the responses to probes, by probe number.
        numbers: Source of probe numbers.
        tasks: Running tasks of the steps.
        build_policy: Returns the policy digest that is piggybacked on probes.
    """

    def __init__(
        self,
        *,
        members: membership.Membership,
        pool: peer_pool.PeerPool,
        rng: random.Random,
        build_policy: collections.abc.Callable[[], wire.PolicyDigest | None],
    ) -> None:
        self.build_policy = build_policy
        self.members = members
        self.pool = pool
        self.rng = rng
        self.schedule = decisions.ProbeSchedule(
            own=members.own.instance,
            data_centre=members.own.data_centre,
            draw=rng.randrange,
        )
        self.waiting: dict[int, collections.abc.Callable[[], None]] = {}
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task] = set()
        members.on_probe = self.handle
        members.on_change = lambda record: self.schedule.note_change(
            record, time.monotonic()
        )

    async def run(self) -> None:
        """Run the steps of the schedule when they are due, until cancelled."""
        # Keeps nodes that start together from probing at the same moments.
        await asyncio.sleep(self.rng.random() * 0.2)
        forget_at = time.monotonic() + FORGET_PERIOD_S
        while True:
            now = time.monotonic()
            table = self.members.table
            for step in self.schedule.advance(table, now):
                self.take_step(step)
            if now >= forget_at:
                forget_at = now + FORGET_PERIOD_S
                table.forget(now)
            await asyncio.sleep(max(0.01, self.schedule.due - now))

    def take_step(self, step: decisions.ProbeStep) -> None:
        """Start one step of the schedule."""
        action = step.action
        if action is decisions.ProbeAction.SUSPECT:
            self.members.judge(step.instance, model.MemberState.SUSPECT)
        elif action is decisions.ProbeAction.DECLARE_DEAD:
            self.members.judge(step.instance, model.MemberState.DEAD)
        elif action is decisions.ProbeAction.PROBE:
            self.spawn(self.probe(step.instance))
        elif action is decisions.ProbeAction.ASK_OTHERS:
            self.members.count('member.asked_others')
            self.spawn(self.probe_again(step.instance))
            names = self.schedule.choose_helpers(
                self.members.table, step.instance
            )
            for name in names:
                self.spawn(self.ask(name, step.instance))
        else:
            self.spawn(self.contact(step.instance))

    def spawn(self, step: collections.abc.Coroutine) -> None:
        """Start a task for a step that waits for other nodes."""
        task = asyncio.create_task(step)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(task_log.log_failure)

    def expect(self, action: collections.abc.Callable[[], None]) -> int:
        """Register a callback for the response to a new probe.

        Returns:
            The number of the probe.
        """
        number = next(self.numbers)
        self.waiting[number] = action
        asyncio.get_running_loop().call_later(
            ANSWER_S, self.waiting.pop, number, None
        )
        return number

    async def probe(self, instance: str) -> None:
        """Probe a member directly."""
        await self.send_probe(
            instance, lambda: self.schedule.note_answer(instance)
        )

    async def send_probe(
        self, instance: str, action: collections.abc.Callable[[], None]
    ) -> None:
        """Send a probe whose response runs the action."""
        member = self.members.table.members.get(instance)
        if member is None:
            return
        try:
            connection = await self.pool.connect(member, any_life=True)
        except ConnectionError:
            return
        if connection.peer.incarnation > member.incarnation:
            # The probed incarnation has ended; the handshake has brought the
            # record of the new one.
            return
        self.send(
            connection, gossip_kind.GossipKind.PROBE, self.expect(action)
        )
        # Also detects an idle connection that has become silent.
        connection.watch.expect()

    async def probe_again(self, instance: str) -> None:
        """Probe a member on a new connection.

        The existing connection may be broken while the member is healthy.
        """
        member = self.members.table.members.get(instance)
        if member is None:
            return
        try:
            connection = await self.pool.dial(
                member.host,
                member.peer_port,
                (member.instance, member.incarnation),
            )
        except ConnectionError:
            return
        number = self.expect(lambda: self.schedule.note_answer(instance))
        self.send(connection, gossip_kind.GossipKind.PROBE, number)

    async def ask(self, helper: str, target: str) -> None:
        """Ask another member to probe the target (indirect probe)."""
        member = self.members.table.members.get(helper)
        if member is None:
            return
        try:
            connection = await self.pool.connect(member)
        except ConnectionError:
            return
        number = self.expect(lambda: self.schedule.note_answer(target))
        self.send(
            connection,
            gossip_kind.GossipKind.INDIRECT,
            number,
            target=target,
        )

    async def contact(self, instance: str) -> None:
        """Try to connect to any incarnation of a member declared dead."""
        member = self.members.table.members.get(instance)
        if member is None:
            return
        try:
            await self.pool.dial(
                member.host, member.peer_port, (member.instance, 0)
            )
        except ConnectionError:
            return

    def handle(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.Gossip,
    ) -> None:
        """Handle a probe, a response or a request for an indirect probe."""
        number = message.number or 0
        if message.kind == gossip_kind.GossipKind.PROBE:
            self.send(connection, gossip_kind.GossipKind.ANSWER, number)
        elif message.kind == gossip_kind.GossipKind.ANSWER:
            connection.watch.note_heard()
            action = self.waiting.pop(number, None)
            if action is not None:
                action()
        else:
            self.spawn(
                self.send_probe(
                    message.target or '',
                    lambda: self.send(
                        connection, gossip_kind.GossipKind.ANSWER, number
                    ),
                )
            )

    def send(
        self,
        connection: peer_connection.PeerConnection,
        kind: gossip_kind.GossipKind,
        number: int,
        **fields: object,
    ) -> None:
        """Send a message with piggybacked changes and hashes."""
        if kind == gossip_kind.GossipKind.PROBE:
            fields['policy'] = self.build_policy()
        self.members.send(
            connection,
            kind,
            number=number,
            changes=self.members.list_changes(),
            hashes=wire.hashes_to_wire(self.members.table.hashes),
            **fields,
        )
