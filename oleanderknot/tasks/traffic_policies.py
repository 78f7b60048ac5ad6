"""Holds the traffic policy in force and exchanges it with other nodes."""

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

TRAFFIC_SCOPE = 'traffic'

# Mean delay before a node announces a new version. Most nodes receive a change
# from the store at the same moment, so only those that still lack it after
# this time request the policy from a peer.
ANNOUNCE_DELAY_S = 0.1

# Minimum time between two requests for the policy, in which the peer that was
# asked can answer.
REQUEST_INTERVAL_S = 0.5


class TrafficPolicies:
    """Owns the policy in force, whose version never decreases.

    Attributes:
        policy: Policy in force; None before the first.
        routes: Route table of the policy.
        keys: API keys of the policy.
        list_connections: Returns the connections to other nodes.
        rng: Random number generator.
        find_confirmed_age: Returns the seconds since the store last told
            which policy is the newest; None before the first time.
        count: Counts an event by name.
        on_change: Called with each policy that comes into force.
        requested_at: Loop time in seconds of the last request to a peer.
        limits: Limits on client requests from the policy.
    """

    def __init__(
        self,
        *,
        list_connections: collections.abc.Callable[
            [], collections.abc.Iterable[peer_connection.PeerConnection]
        ],
        rng: random.Random,
        find_confirmed_age: collections.abc.Callable[[], float | None],
        count: collections.abc.Callable[[str], None],
    ) -> None:
        self.find_confirmed_age = find_confirmed_age
        self.count = count
        self.policy: model.TrafficPolicy | None = None
        self.routes = decisions.RouteTable()
        self.keys = decisions.KeyTable()
        self.list_connections = list_connections
        self.rng = rng
        self.on_change: collections.abc.Callable[
            [model.TrafficPolicy], None
        ] = lambda policy: None
        self.loop = asyncio.get_running_loop()
        self.requested_at = -REQUEST_INTERVAL_S
        self.limits = model.ClientLimits()

    @property
    def version(self) -> int:
        """Version in force; -1 before the first."""
        return -1 if self.policy is None else self.policy.version

    def apply(self, policy: model.TrafficPolicy, source: str) -> None:
        """Put a policy in force if it is newer, and announce it to peers.

        Args:
            policy: The policy.
            source: Origin of the policy, for the log.
        """
        if policy.version <= self.version:
            if policy.version < self.version:
                self.log_ignored(policy, source)
            return
        before = self.version
        confirmed_age = self.find_confirmed_age()
        self.policy = policy
        self.routes = decisions.RouteTable(routes=policy.routes)
        self.keys = decisions.KeyTable(organisations=policy.organisations)
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
                    'confirmed_before_s': (
                        None
                        if confirmed_age is None
                        else round(confirmed_age, 3)
                    ),
                    'routes': len(policy.routes),
                    'organisations': len(policy.organisations),
                }
            },
        )
        if policy.left_out:
            self.report_left_out(policy)
        self.on_change(policy)
        delay = ANNOUNCE_DELAY_S * (0.5 + self.rng.random())
        self.loop.call_later(delay, self.announce)

    def report_left_out(self, policy: model.TrafficPolicy) -> None:
        """Log and count the entries of a policy that are not in force."""
        self.count('policy.left_out')
        logging.warning(
            'policy version %d has entries that this version does not know'
            ' and that are not in force: %s',
            policy.version,
            '; '.join(policy.left_out),
            extra={
                'call_fields': {
                    'event': 'policy_left_out',
                    'version': policy.version,
                    'left_out': list(policy.left_out),
                }
            },
        )

    def log_ignored(self, policy: model.TrafficPolicy, source: str) -> None:
        """Log a policy that is older than the one in force."""
        logging.warning(
            'policy version %d is older than version %d and was ignored',
            policy.version,
            self.version,
            extra={
                'call_fields': {
                    'event': 'policy_ignored',
                    'version': policy.version,
                    'in_force': self.version,
                    'source': source,
                }
            },
        )

    def announce(self) -> None:
        """Send the version in force to all connected nodes."""
        for connection in list(self.list_connections()):
            self.start_exchange(connection)

    def build_digest(self) -> wire.PolicyDigest:
        """Build a digest that carries the version in force."""
        number = max(0, self.version)
        return wire.digest_to_wire(
            model.PolicyDigest(
                count=1, highest=number, hash=number, complete=number
            )
        )

    def start_exchange(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        """Send the version in force here to one node."""
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
        """Handle a policy message of another node.

        Raises:
            BadFrame: The message is malformed.
        """
        if message.kind == ticket_sync.DIGEST:
            self.handle_digest(connection, message.digest)
        elif message.kind == ticket_sync.REQUEST:
            self.send_policy(connection)
        elif message.kind == ticket_sync.STATES:
            self.apply(
                parse_policy_message(message), connection.describe_peer()
            )
        else:
            raise wire.BadFrame('policy message of an unknown kind')

    def handle_digest(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.PolicyDigest | None,
    ) -> None:
        """Request a node's policy if it is newer than the one in force.

        Raises:
            BadFrame: The digest is malformed.
        """
        digest = wire.digest_from_wire(message)
        now = self.loop.time()
        if (
            digest.highest > self.version
            and now - self.requested_at >= REQUEST_INTERVAL_S
        ):
            self.requested_at = now
            self.count('policy.requested')
            connection.send(
                0, policy_sync=wire.PolicySync(kind=ticket_sync.REQUEST)
            )

    def send_policy(self, connection: peer_connection.PeerConnection) -> None:
        """Send the policy in force to another node."""
        if self.policy is None:
            return
        state = wire.ScopeState(
            scope=TRAFFIC_SCOPE,
            number=self.policy.version,
            state=border.dump_traffic_policy(self.policy),
        )
        connection.send(
            0,
            policy_sync=wire.PolicySync(
                kind=ticket_sync.STATES, scopes=[state]
            ),
        )


def parse_policy_message(message: wire.PolicySync) -> model.TrafficPolicy:
    """Parse the traffic policy of a message.

    Raises:
        BadFrame: The message contains no valid policy.
    """
    scopes = message.scopes or ()
    if len(scopes) != 1 or scopes[0].scope != TRAFFIC_SCOPE:
        raise wire.BadFrame('policy message without a traffic policy')
    try:
        return border.parse_traffic_policy(scopes[0].state or '')
    except ValueError as error:
        raise wire.BadFrame('invalid traffic policy: %s' % error) from error
