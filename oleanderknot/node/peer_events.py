"""Passes events of peer connections to membership and policy."""

import typing

from oleanderknot import wire
from oleanderknot.tasks import membership
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_pool


class PolicyExchange(typing.Protocol):
    """Replicates policy between nodes: tickets or traffic policies."""

    def handle_digest(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.PolicyDigest | None,
    ) -> None:
        """Compare the policy digest of a peer with the local policy."""

    def start_exchange(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        """Start the exchange of policy with a new peer."""


def handle_gossip(
    members: membership.Membership,
    policies: PolicyExchange,
    connection: peer_connection.PeerConnection,
    message: wire.Gossip,
) -> None:
    """Handle a membership message and the policy digest that a probe carries.

    Raises:
        BadFrame: The message is malformed.
    """
    members.handle_gossip(connection, message)
    if message.policy is not None:
        policies.handle_digest(connection, message.policy)


def register_connection(
    pool: peer_pool.PeerPool,
    members: membership.Membership,
    policies: PolicyExchange,
    connection: peer_connection.PeerConnection,
) -> None:
    """Register a connection whose handshake is complete."""
    pool.add(connection)
    members.introduce(connection)
    policies.start_exchange(connection)
