"""Builds and checks the handshake message of a peer connection."""

from oleanderknot import model
from oleanderknot import wire

PROTOCOL_VERSION = 1


def build_hello(
    identity: model.NodeIdentity,
    session: int,
    target_instance: str,
    target_incarnation: int,
) -> wire.Hello:
    """Build the handshake message that is sent to a node.

    Args:
        identity: Identity of this node.
        session: Session number of the connection.
        target_instance: Instance that is addressed; empty for any.
        target_incarnation: Incarnation that is addressed; 0 for any.

    Returns:
        The message.
    """
    return wire.Hello(
        protocol=PROTOCOL_VERSION,
        session=session,
        instance=identity.instance,
        incarnation=identity.incarnation,
        data_centre=identity.data_centre,
        target_instance=target_instance,
        target_incarnation=target_incarnation,
    )


def check_hello(
    identity: model.NodeIdentity, hello: wire.Hello
) -> model.NodeIdentity:
    """Check the handshake message of another node.

    A message for another instance or incarnation is refused. Otherwise an
    instance that reuses an address would receive calls for its predecessor.

    Args:
        identity: Identity of this node.
        hello: The message.

    Returns:
        Identity of the other node.

    Raises:
        BadFrame: The message is incomplete, has another protocol version,
            or addresses another node.
    """
    if None in (
        hello.session,
        hello.instance,
        hello.incarnation,
        hello.data_centre,
    ):
        raise wire.BadFrame('hello lacks a required field')
    if hello.protocol != PROTOCOL_VERSION:
        raise wire.BadFrame('unknown protocol version %s' % hello.protocol)
    if hello.target_instance not in (
        '',
        identity.instance,
    ) or hello.target_incarnation not in (0, identity.incarnation):
        raise wire.BadFrame(
            'hello addresses another node, %s' % hello.target_instance
        )
    if hello.instance == identity.instance:
        raise wire.BadFrame('hello from a node with the instance of this one')
    return model.NodeIdentity(
        instance=hello.instance,
        incarnation=hello.incarnation,
        data_centre=hello.data_centre,
    )
