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
RESPONSE_TIMEOUT_S = 3.0

# Period of the removal of expired records from the table of members.
CLEANUP_PERIOD_S = 60.0


class Prober:
    """Probes members and reports those that do not respond.

    Attributes:
        members: Membership of this node.
        pool: Connections to other nodes.
        rng: Source of randomness.
        schedule: Decides which members to probe and which step follows.
        pending_probes: Callbacks for the responses to probes, by probe number.
        numbers: Source of probe numbers.
        tasks: Running tasks of the steps.
        build_policy_digest: Returns the policy digest that is piggybacked on
            probes.
    """

    def __init__(
        self,
        *,
        members: membership.Membership,
        pool: peer_pool.PeerPool,
        rng: random.Random,
        build_policy_digest: collections.abc.Callable[
            [], wire.PolicyDigest | None
        ],
    ) -> None:
        self.build_policy_digest = build_policy_digest
        self.members = members
        self.pool = pool
        self.rng = rng
        self.schedule = decisions.ProbeSchedule(
            own=members.own.instance,
            data_centre=members.own.data_centre,
            draw=rng.randrange,
        )
        self.pending_probes: dict[int, collections.abc.Callable[[], None]] = {}
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task] = set()
        members.on_probe = self.handle_message
        members.on_change = lambda record: self.schedule.note_change(
            record, time.monotonic()
        )

    async def run(self) -> None:
        """Run the steps of the schedule when they are due, until cancelled."""
        # Keeps nodes that start together from probing at the same moments.
        await asyncio.sleep(self.rng.random() * 0.2)
        cleanup_at = time.monotonic() + CLEANUP_PERIOD_S
        while True:
            now = time.monotonic()
            table = self.members.table
            for step in self.schedule.advance(table, now):
                self.run_step(step)
            if now >= cleanup_at:
                cleanup_at = now + CLEANUP_PERIOD_S
                table.remove_expired(now)
            await asyncio.sleep(max(0.01, self.schedule.next_due - now))

    def run_step(self, step: decisions.ProbeStep) -> None:
        """Start one step of the schedule."""
        action = step.action
        if action is decisions.ProbeAction.SUSPECT:
            self.members.record_state(step.instance, model.MemberState.SUSPECT)
        elif action is decisions.ProbeAction.DECLARE_DEAD:
            self.members.record_state(step.instance, model.MemberState.DEAD)
        elif action is decisions.ProbeAction.PROBE:
            self.start_task(self.probe(step.instance))
        elif action is decisions.ProbeAction.ASK_OTHERS:
            self.members.count_event('member.asked_others')
            self.start_task(self.probe_on_new_connection(step.instance))
            names = self.schedule.choose_indirect_probers(
                self.members.table, step.instance
            )
            for name in names:
                self.start_task(
                    self.request_indirect_probe(name, step.instance)
                )
        else:
            self.start_task(self.dial_dead_member(step.instance))

    def start_task(self, step: collections.abc.Coroutine) -> None:
        """Start a task for a step that waits for other nodes."""
        task = asyncio.create_task(step)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(task_log.log_failure)

    def register_probe(
        self, action: collections.abc.Callable[[], None]
    ) -> int:
        """Register a callback for the response to a new probe.

        Returns:
            The number of the probe.
        """
        number = next(self.numbers)
        self.pending_probes[number] = action
        asyncio.get_running_loop().call_later(
            RESPONSE_TIMEOUT_S, self.pending_probes.pop, number, None
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
            connection = await self.pool.connect(member, any_incarnation=True)
        except ConnectionError:
            return
        if connection.peer.incarnation > member.incarnation:
            # The probed incarnation has ended; the handshake has brought the
            # record of the new one.
            return
        self.send(
            connection,
            gossip_kind.GossipKind.PROBE,
            self.register_probe(action),
        )
        # Also detects an idle connection that has become silent.
        connection.liveness.expect_response()

    async def probe_on_new_connection(self, instance: str) -> None:
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
        number = self.register_probe(
            lambda: self.schedule.note_answer(instance)
        )
        self.send(connection, gossip_kind.GossipKind.PROBE, number)

    async def request_indirect_probe(
        self, intermediary: str, target: str
    ) -> None:
        """Ask another member to probe the target (indirect probe)."""
        member = self.members.table.members.get(intermediary)
        if member is None:
            return
        try:
            connection = await self.pool.connect(member)
        except ConnectionError:
            return
        number = self.register_probe(lambda: self.schedule.note_answer(target))
        self.send(
            connection,
            gossip_kind.GossipKind.INDIRECT,
            number,
            target=target,
        )

    async def dial_dead_member(self, instance: str) -> None:
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

    def handle_message(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.Gossip,
    ) -> None:
        """Handle a probe, a response or a request for an indirect probe."""
        number = message.number or 0
        if message.kind == gossip_kind.GossipKind.PROBE:
            self.send(connection, gossip_kind.GossipKind.ANSWER, number)
        elif message.kind == gossip_kind.GossipKind.ANSWER:
            connection.liveness.note_response()
            action = self.pending_probes.pop(number, None)
            if action is not None:
                action()
        else:
            self.start_task(
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
            fields['policy'] = self.build_policy_digest()
        self.members.send(
            connection,
            kind,
            number=number,
            changes=self.members.take_pending_changes(),
            hashes=wire.hashes_to_wire(self.members.table.hashes),
            **fields,
        )
