"""Spreads policy between nodes."""

import asyncio
import collections.abc
import random
import time

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import task_log

# Kinds of policy messages. NEWS is passed on by each node to which it is
# new; a REPLY to a digest may be answered; a REST is neither.
NEWS = 0
REQUEST = 1
DIGEST = 2
REPLY = 3
REST = 4

# Time in which a peer sends all scopes; before it ends no other is asked.
REQUEST_PAUSE_S = 1.0

# A quarter of the largest frame, so that calls on the connection are not
# held up by a large one.
BATCH_BYTES = 256 * 1024


class TicketSync:
    """Owns the exchange of policy with other nodes.

    Attributes:
        identity: Identity of this node.
        policy: Policy in force.
        members: Nodes that are known.
        pool: Connections to other nodes.
        count: Counts an event.
        rng: Source of randomness.
        pushes: Pushes that are on their way.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        policy: decisions.PolicyTable,
        members: decisions.MemberTable,
        pool: peer_pool.PeerPool,
        count: collections.abc.Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.policy = policy
        self.members = members
        self.pool = pool
        self.count = count
        self.rng = rng
        self.pushes: set[asyncio.Task] = set()
        self.asked_at = -REQUEST_PAUSE_S

    def count_nodes(self) -> int:
        """Return the nodes alive in the own data centre, with this one."""
        others = decisions.list_alive_peers(
            self.members.members.values(), self.identity.instance
        )
        own = self.identity.data_centre
        return 1 + sum(member.data_centre == own for member in others)

    def greet(self, connection: peer_connection.PeerConnection) -> None:
        """Compare policy with a node that has just connected.

        A cold node asks for all scopes.
        """
        if self.policy.highest:
            self.send(connection, DIGEST)
        else:
            self.request(connection)

    def request(self, connection: peer_connection.PeerConnection) -> None:
        """Ask a peer for all scopes, unless another was just asked."""
        now = time.monotonic()
        if now - self.asked_at >= REQUEST_PAUSE_S:
            self.asked_at = now
            self.send(connection, REQUEST)

    def handle(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.PolicySync,
    ) -> None:
        """Take a policy message.

        Raises:
            BadFrame: The message is malformed.
        """
        if message.kind == REQUEST:
            self.send_states(connection, self.policy.list_after(0), REST)
            return
        if message.kind not in (NEWS, DIGEST, REPLY, REST):
            raise wire.BadFrame('policy message of an unknown kind')
        if message.kind == DIGEST:
            self.take_digest(connection, message.digest)
            return
        digest = wire.digest_from_wire(message.digest)
        if message.scopes is None:
            raise wire.BadFrame('policy message without scopes')
        states = [wire.scope_from_wire(item) for item in message.scopes]
        before = self.policy.highest
        changed = self.policy.merge(states)
        if not self.policy.merge_digest(digest) and message.kind == REPLY:
            self.answer_reply(connection, digest)
        if message.kind != NEWS:
            # A cold node does not pass on all that it is sent.
            changed = [item for item in changed if item.number > before > 0]
        if changed:
            self.spread(changed, connection.peer.instance)

    def build_digest(self) -> wire.PolicyDigest:
        """Build the digest that rides on probes of membership."""
        return wire.digest_to_wire(self.policy.build_digest())

    def take_digest(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.PolicyDigest | None,
    ) -> None:
        """Send what a peer with another policy may lack.

        Raises:
            BadFrame: The digest is malformed.
        """
        digest = wire.digest_from_wire(message)
        if not self.policy.merge_digest(digest):
            self.count('ticket.digest_mismatches')
            states = self.policy.list_after(digest.complete)
            self.send_states(connection, states, REPLY)

    def answer_reply(
        self,
        connection: peer_connection.PeerConnection,
        digest: model.PolicyDigest,
    ) -> None:
        """Send what a peer lacks that has sent all that was lacking here."""
        states = self.policy.list_after(digest.complete)
        if states:
            self.send_states(connection, states, REST)
        else:
            # Both believe to be complete and still differ.
            self.request(connection)

    def spread(
        self,
        states: collections.abc.Sequence[model.ScopeState],
        source: str = '',
    ) -> None:
        """Push new states to a few random nodes.

        Args:
            states: States that are new here.
            source: Instance that sent them; it is not told again.
        """
        targets = decisions.choose_push_targets(
            self.members.members.values(), self.identity, self.rng.sample
        )
        for member in targets:
            if member.instance != source:
                task = asyncio.create_task(self.push(member, states))
                self.pushes.add(task)
                task.add_done_callback(self.pushes.discard)
                task.add_done_callback(task_log.log_failure)

    async def push(
        self,
        member: model.Member,
        states: collections.abc.Sequence[model.ScopeState],
    ) -> None:
        """Push states to a node; one that is out of reach asks later."""
        try:
            connection = await self.pool.connect(member)
        except ConnectionError:
            self.count('ticket.push_failures')
            return
        self.count('ticket.pushes')
        self.send_states(connection, states, NEWS)

    def send_states(
        self,
        connection: peer_connection.PeerConnection,
        states: collections.abc.Iterable[model.ScopeState],
        kind: int,
    ) -> None:
        """Send states, in several messages when they are many."""
        batches = decisions.split_batches(
            [wire.scope_to_wire(state) for state in states],
            lambda item: len(item.state) + len(item.scope) + 16,
            BATCH_BYTES,
        )
        for batch in batches[:-1]:
            self.send(connection, NEWS if kind == NEWS else REST, batch)
        self.send(connection, kind, batches[-1])

    def send(
        self,
        connection: peer_connection.PeerConnection,
        kind: int,
        scopes: collections.abc.Sequence[wire.ScopeState] = (),
    ) -> None:
        """Send one message with the own digest."""
        connection.send(
            0,
            policy_sync=wire.PolicySync(
                kind=kind,
                scopes=list(scopes),
                digest=self.build_digest(),
            ),
        )

    def describe(self) -> dict[str, object]:
        """Describe the policy in force for operators."""
        return {
            'highest': self.policy.highest,
            'complete': self.policy.complete,
            'scopes': {
                scope: state.number
                for scope, state in self.policy.scopes.items()
            },
        }

    def close(self) -> None:
        """Cancel pushes that are on their way."""
        for task in self.pushes:
            task.cancel()
