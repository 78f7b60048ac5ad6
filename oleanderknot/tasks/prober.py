"""Finds members that have failed."""

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

# Answers that come later are of no use to anybody.
ANSWER_S = 3.0

FORGET_PERIOD_S = 60.0


class Prober:
    """Probes members and judges them by their answers.

    Attributes:
        members: The table of members and its messages.
        pool: Connections to other nodes.
        schedule: Decides whom to probe and what follows.
        waiting: What to do with the answer to a probe, by its number.
        tasks: Steps that run.
        build_policy: Returns the digest of policy that rides on probes.
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
        """Take the steps of the schedule when they are due."""
        # Nodes that start together must not probe in step.
        await asyncio.sleep(self.rng.random() * 0.2)
        forget_at = time.monotonic() + FORGET_PERIOD_S
        while True:
            now = time.monotonic()
            table = self.members.table
            for step in self.schedule.advance(table, now):
                self.take_step(step)
            if now >= forget_at:
                forget_at = now + FORGET_PERIOD_S
                table.remove_expired(now)
            await asyncio.sleep(max(0.01, self.schedule.next_due - now))

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
            names = self.schedule.choose_indirect_probers(
                self.members.table, step.instance
            )
            for name in names:
                self.spawn(self.ask(name, step.instance))
        else:
            self.spawn(self.contact(step.instance))

    def spawn(self, step: collections.abc.Coroutine) -> None:
        """Run a step that waits for other nodes."""
        task = asyncio.create_task(step)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(task_log.log_failure)

    def expect(self, action: collections.abc.Callable[[], None]) -> int:
        """Return the number of a new probe whose answer runs an action."""
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
        """Send a probe; the answer runs the action."""
        member = self.members.table.members.get(instance)
        if member is None:
            return
        try:
            connection = await self.pool.connect(member, any_life=True)
        except ConnectionError:
            return
        if connection.peer.incarnation > member.incarnation:
            # The life that was to be probed has ended; the handshake has
            # brought the record of the new one.
            return
        self.send(
            connection, gossip_kind.GossipKind.PROBE, self.expect(action)
        )
        # Also finds an idle connection that has gone silent.
        connection.watch.expect()

    async def probe_again(self, instance: str) -> None:
        """Probe a member on a new connection.

        The old one may have gone silent while the member is well.
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
        """Ask another member to probe the target."""
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
        """Try a member that was declared dead; any life of it will do."""
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
        """Take a probe, an answer or a request to probe for another node."""
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
        """Send a message that carries changes and hashes."""
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
