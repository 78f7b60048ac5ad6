"""Hands what peers bring to the parts of a node that take it."""

import typing

from oleanderknot import wire
from oleanderknot.tasks import membership
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_pool


class Policies(typing.Protocol):
    """What spreads the policy of a node: tickets, or traffic policies."""

    def take_digest(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.PolicyDigest | None,
    ) -> None:
        """Take the digest of a peer's policy."""

    def greet(self, connection: peer_connection.PeerConnection) -> None:
        """Introduce the own policy to a peer."""


def take_gossip(
    members: membership.Membership,
    policies: Policies,
    connection: peer_connection.PeerConnection,
    message: wire.Gossip,
) -> None:
    """Take a membership message and the digest that rides on a probe.

    Raises:
        BadFrame: The message is malformed.
    """
    members.handle_gossip(connection, message)
    if message.policy is not None:
        policies.take_digest(connection, message.policy)


def greet(
    pool: peer_pool.PeerPool,
    members: membership.Membership,
    policies: Policies,
    connection: peer_connection.PeerConnection,
) -> None:
    """Take a connection whose handshake is done."""
    pool.add(connection)
    members.introduce(connection)
    policies.greet(connection)
