"""Synchronises the policy that tickets set between nodes."""

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

# Kinds of policy messages. The states of a PUSH are forwarded by each node to
# which they are new; a REPLY to a digest may be answered; a STATES message is
# neither forwarded as a whole nor answered.
PUSH = 0
REQUEST = 1
DIGEST = 2
REPLY = 3
STATES = 4

# Minimum time between two requests for all scopes, in which the peer that was
# asked can answer.
REQUEST_INTERVAL_S = 1.0

# A quarter of the maximum frame size, so that a large policy message does not
# delay calls on the same connection.
MAX_BATCH_BYTES = 256 * 1024


class TicketSync:
    """Owns the exchange of policy with other nodes.

    Attributes:
        identity: Identity of this node.
        policy: Policy in force.
        members: Known nodes.
        pool: Connections to other nodes.
        count: Increments the counter metric of this name.
        rng: Random number generator.
        push_tasks: Tasks of the pushes in progress.
        requested_at: Monotonic time in seconds of the last request for all
            scopes.
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
        self.push_tasks: set[asyncio.Task] = set()
        self.requested_at = -REQUEST_INTERVAL_S

    def count_nodes(self) -> int:
        """Return the number of live nodes in this data centre.

        This node is included.
        """
        others = decisions.list_alive_peers(
            self.members.members.values(), self.identity.instance
        )
        own = self.identity.data_centre
        return 1 + sum(member.data_centre == own for member in others)

    def start_exchange(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        """Start synchronising with a node that has just connected.

        Sends the digest, or requests all scopes if this node holds none.
        """
        if self.policy.highest:
            self.send(connection, DIGEST)
        else:
            self.request_states(connection)

    def request_states(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        """Request all scopes from a peer, unless one was just requested."""
        now = time.monotonic()
        if now - self.requested_at >= REQUEST_INTERVAL_S:
            self.requested_at = now
            self.send(connection, REQUEST)

    def handle(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.PolicySync,
    ) -> None:
        """Handle a policy message.

        Raises:
            BadFrame: The message is malformed.
        """
        if message.kind == REQUEST:
            self.send_states(connection, self.policy.list_after(0), STATES)
            return
        if message.kind not in (PUSH, DIGEST, REPLY, STATES):
            raise wire.BadFrame('policy message of an unknown kind')
        if message.kind == DIGEST:
            self.handle_digest(connection, message.digest)
            return
        digest = wire.digest_from_wire(message.digest)
        if message.scopes is None:
            raise wire.BadFrame('policy message without scopes')
        states = [wire.scope_from_wire(item) for item in message.scopes]
        before = self.policy.highest
        changed = self.policy.merge(states)
        if not self.policy.merge_digest(digest) and message.kind == REPLY:
            self.answer_reply(connection, digest)
        if message.kind != PUSH:
            # A node that held no policy does not forward everything it got.
            changed = [item for item in changed if item.number > before > 0]
        if changed:
            self.push_to_peers(changed, connection.peer.instance)

    def build_digest(self) -> wire.PolicyDigest:
        """Build the digest that is attached to membership probes."""
        return wire.digest_to_wire(self.policy.build_digest())

    def handle_digest(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.PolicyDigest | None,
    ) -> None:
        """Compare a peer's digest and send the states that it may lack.

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
        """Answer a reply with the states that the peer still lacks."""
        states = self.policy.list_after(digest.complete)
        if states:
            self.send_states(connection, states, STATES)
        else:
            # Both sides are complete by their own count and still differ.
            self.request_states(connection)

    def push_to_peers(
        self,
        states: collections.abc.Sequence[model.ScopeState],
        source: str = '',
    ) -> None:
        """Push new states to a few random nodes.

        Args:
            states: States that are new to this node.
            source: Instance that sent them, to which they are not pushed.
        """
        targets = decisions.choose_push_targets(
            self.members.members.values(), self.identity, self.rng.sample
        )
        for member in targets:
            if member.instance != source:
                task = asyncio.create_task(self.push(member, states))
                self.push_tasks.add(task)
                task.add_done_callback(self.push_tasks.discard)
                task.add_done_callback(task_log.log_failure)

    async def push(
        self,
        member: model.Member,
        states: collections.abc.Sequence[model.ScopeState],
    ) -> None:
        """Push states to a node; an unreachable one requests them later."""
        try:
            connection = await self.pool.connect(member)
        except ConnectionError:
            self.count('ticket.push_failures')
            return
        self.count('ticket.pushes')
        self.send_states(connection, states, PUSH)

    def send_states(
        self,
        connection: peer_connection.PeerConnection,
        states: collections.abc.Iterable[model.ScopeState],
        kind: int,
    ) -> None:
        """Send states, split into messages of limited size."""
        batches = decisions.split_batches(
            [wire.scope_to_wire(state) for state in states],
            lambda item: len(item.state) + len(item.scope) + 16,
            MAX_BATCH_BYTES,
        )
        for batch in batches[:-1]:
            self.send(connection, PUSH if kind == PUSH else STATES, batch)
        self.send(connection, kind, batches[-1])

    def send(
        self,
        connection: peer_connection.PeerConnection,
        kind: int,
        scopes: collections.abc.Sequence[wire.ScopeState] = (),
    ) -> None:
        """Send one policy message with the digest of this node."""
        connection.send(
            0,
            policy_sync=wire.PolicySync(
                kind=kind,
                scopes=list(scopes),
                digest=self.build_digest(),
            ),
        )

    def describe(self) -> dict[str, object]:
        """Return the policy in force, for the status of the node."""
        return {
            'highest': self.policy.highest,
            'complete': self.policy.complete,
            'scopes': {
                scope: state.number
                for scope, state in self.policy.scopes.items()
            },
        }

    def close(self) -> None:
        """Cancel the pushes in progress."""
        for task in self.push_tasks:
            task.cancel()
