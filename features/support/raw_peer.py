"""Peer connection that a test controls at frame level."""

import socket

from features.support import node as nodes
from oleanderknot import wire

SESSION = 4711
SOCKET_TIMEOUT_S = 20


class RawPeer:
    """Peer client that sends and receives individual frames.

    Attributes:
        socket: TCP connection to the node's peer port.
    """

    def __init__(self, *, node: nodes.Node, instance: str = 'raw') -> None:
        self.socket = socket.create_connection(
            (node.host, node.peer_port), timeout=SOCKET_TIMEOUT_S
        )
        self.reader = wire.FrameReader(codec=wire.Codec())
        self.frames: list[wire.Frame] = []
        self.send(
            0,
            hello=wire.Hello(
                protocol=1,
                session=SESSION,
                instance=instance,
                incarnation=1,
                data_centre='raw',
                target_instance='',
                target_incarnation=0,
            ),
        )
        self.wait_for('hello')

    def send(self, call: int, **message: object) -> None:
        """Send one frame."""
        frame = wire.Frame(session=SESSION, call=call, **message)
        self.socket.sendall(wire.encode(frame))

    def wait_for(self, name: str, accept=lambda message: True) -> object:
        """Return the next matching message and discard others.

        Raises:
            ConnectionError: The node has closed the connection.
        """
        while True:
            while self.frames:
                message = getattr(self.frames.pop(0), name)
                if message is not None and accept(message):
                    return message
            data = self.socket.recv(65536)
            if not data:
                raise ConnectionError('the node closed the connection')
            self.frames += self.reader.feed(data)

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()
