"""Holds the traffic policy in force and spreads it between nodes."""

import asyncio
import collections.abc
import random

from absl import logging

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import ticket_sync

SCOPE = 'traffic'

# Most nodes hear of a change from the store at the same moment; only those
# that have not heard of it after this time ask a peer for the whole policy.
ANNOUNCE_AFTER_S = 0.1

# Time in which a peer sends its policy; before it ends no other is asked.
REQUEST_PAUSE_S = 0.5


class TrafficPolicies:
    """Owns the policy in force; its version never goes back.

    Attributes:
        policy: Policy in force; None before the first.
        routes: Its routes.
        list_peers: Returns the connections to other nodes.
        rng: Source of randomness.
        on_change: Called after each change.
    """

    def __init__(
        self,
        *,
        list_peers: collections.abc.Callable[
            [], collections.abc.Iterable[peer_connection.PeerConnection]
        ],
        rng: random.Random,
    ) -> None:
        self.policy: model.TrafficPolicy | None = None
        self.routes = decisions.RouteTable()
        self.list_peers = list_peers
        self.rng = rng
        self.on_change: collections.abc.Callable[
            [model.TrafficPolicy], None
        ] = lambda policy: None
        self.loop = asyncio.get_running_loop()
        self.asked_at = -REQUEST_PAUSE_S
        self.limits = model.ClientLimits()

    @property
    def version(self) -> int:
        """Version in force; -1 before the first."""
        return -1 if self.policy is None else self.policy.version

    def take(self, policy: model.TrafficPolicy, source: str) -> None:
        """Put a policy in force if it is newer, and tell other nodes.

        Args:
            policy: The policy.
            source: Where it comes from, for the log.
        """
        if policy.version <= self.version:
            return
        before = self.version
        self.policy = policy
        self.routes = decisions.RouteTable(routes=policy.routes)
        self.limits = policy.limits
        logging.info(
            'policy version %d is in force',
            policy.version,
            extra={
                'call_fields': {
                    'event': 'policy_in_force',
                    'version': policy.version,
                    'before': before,
                    'source': source,
                    'routes': len(policy.routes),
                }
            },
        )
        self.on_change(policy)
        delay = ANNOUNCE_AFTER_S * (0.5 + self.rng.random())
        self.loop.call_later(delay, self.announce)

    def announce(self) -> None:
        """Tell all connected nodes which version is in force."""
        for connection in list(self.list_peers()):
            self.greet(connection)

    def build_digest(self) -> wire.PolicyDigest:
        """Build the digest that names the version in force."""
        number = max(0, self.version)
        return wire.digest_to_wire(
            model.PolicyDigest(
                count=1, highest=number, hash=number, complete=number
            )
        )

    def greet(self, connection: peer_connection.PeerConnection) -> None:
        """Tell one node which version is in force here."""
        connection.send(
            0,
            policy_sync=wire.PolicySync(
                kind=ticket_sync.DIGEST, digest=self.build_digest()
            ),
        )

    def handle(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.PolicySync,
    ) -> None:
        """Take a policy message of another node.

        Raises:
            BadFrame: The message is malformed.
        """
        if message.kind == ticket_sync.DIGEST:
            self.take_digest(connection, message.digest)
        elif message.kind == ticket_sync.REQUEST:
            self.send(connection)
        elif message.kind == ticket_sync.REST:
            self.take(read_policy(message), connection.describe())
        else:
            raise wire.BadFrame('policy message of an unknown kind')

    def take_digest(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.PolicyDigest | None,
    ) -> None:
        """Ask a node for its policy if it is newer than the own one.

        Raises:
            BadFrame: The digest is malformed.
        """
        digest = wire.digest_from_wire(message)
        now = self.loop.time()
        if (
            digest.highest > self.version
            and now - self.asked_at >= REQUEST_PAUSE_S
        ):
            self.asked_at = now
            connection.send(
                0, policy_sync=wire.PolicySync(kind=ticket_sync.REQUEST)
            )

    def send(self, connection: peer_connection.PeerConnection) -> None:
        """Send the policy in force to another node."""
        if self.policy is None:
            return
        state = wire.ScopeState(
            scope=SCOPE,
            number=self.policy.version,
            state=border.dump_traffic_policy(self.policy),
        )
        connection.send(
            0,
            policy_sync=wire.PolicySync(kind=ticket_sync.REST, scopes=[state]),
        )


def read_policy(message: wire.PolicySync) -> model.TrafficPolicy:
    """Read the policy of a message.

    Raises:
        BadFrame: The message holds no policy.
    """
    scopes = message.scopes or ()
    if len(scopes) != 1 or scopes[0].scope != SCOPE:
        raise wire.BadFrame('policy message without a traffic policy')
    try:
        return border.parse_traffic_policy(scopes[0].state or '')
    except ValueError as error:
        raise wire.BadFrame('wrong traffic policy: %s' % error) from error
