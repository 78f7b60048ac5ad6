"""The first message on a connection between two nodes."""

from oleanderknot import model
from oleanderknot import wire

PROTOCOL_NUMBER = 1


def build_hello(
    identity: model.NodeIdentity,
    session: int,
    instance: str,
    incarnation: int,
) -> wire.Hello:
    """Build the handshake message to a node.

    Args:
        identity: Identity of this node.
        session: Number of the connection.
        instance: Name of the node that is meant; empty for any.
        incarnation: Life of the node that is meant; 0 for any.

    Returns:
        The message.
    """
    return wire.Hello(
        protocol=PROTOCOL_NUMBER,
        session=session,
        instance=identity.instance,
        incarnation=identity.incarnation,
        data_centre=identity.data_centre,
        target_instance=instance,
        target_incarnation=incarnation,
    )


def check_hello(
    identity: model.NodeIdentity, hello: wire.Hello
) -> model.NodeIdentity:
    """Check the handshake message of another node.

    A wrong receiver is refused, so that an address that a new instance has
    taken over gets no calls that were meant for the old one.

    Args:
        identity: Identity of this node.
        hello: The message.

    Returns:
        Identity of the other node.

    Raises:
        BadFrame: The message is incomplete, of another protocol, or meant
            for another node.
    """
    if None in (
        hello.session,
        hello.instance,
        hello.incarnation,
        hello.data_centre,
    ):
        raise wire.BadFrame('incomplete hello')
    if hello.protocol != PROTOCOL_NUMBER:
        raise wire.BadFrame('protocol %s is unknown' % hello.protocol)
    if hello.target_instance not in (
        '',
        identity.instance,
    ) or hello.target_incarnation not in (0, identity.incarnation):
        raise wire.BadFrame('hello for %s' % hello.target_instance)
    if hello.instance == identity.instance:
        raise wire.BadFrame('hello from a node with the own name')
    return model.NodeIdentity(
        instance=hello.instance,
        incarnation=hello.incarnation,
        data_centre=hello.data_centre,
    )
