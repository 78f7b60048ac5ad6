"""Plain TCP forwarder that serves as the baseline for added latency."""

import asyncio
import sys

import uvloop


class ForwardProtocol(asyncio.Protocol):
    """Forwards received bytes to another connection.

    Attributes:
        target: Host and port to connect to; None on the outgoing side.
        peer: Protocol of the other connection; None until it is open.
        transport: Transport of this connection.
        pending_data: Data received before the other connection was open.
    """

    def __init__(self, *, target: tuple[str, int] | None) -> None:
        self.target = target
        self.peer: ForwardProtocol | None = None
        self.transport: asyncio.Transport | None = None
        self.pending_data = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Open the connection to the target."""
        self.transport = transport
        if self.target is not None:
            asyncio.ensure_future(self.connect())

    async def connect(self) -> None:
        """Connect to the target and send the data received so far."""
        _, peer = await asyncio.get_running_loop().create_connection(
            lambda: ForwardProtocol(target=None), *self.target
        )
        peer.peer = self
        self.peer = peer
        for data in self.pending_data:
            peer.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Forward data, or buffer it until the target is connected."""
        if self.peer is None:
            self.pending_data.append(data)
        else:
            self.peer.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Close the other connection."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


async def main(port: int, target_port: int) -> None:
    """Forward connections from one port to another until killed."""
    server = await asyncio.get_running_loop().create_server(
        lambda: ForwardProtocol(target=('127.0.0.1', target_port)),
        '127.0.0.1',
        port,
    )
    await server.serve_forever()


if __name__ == '__main__':
    uvloop.run(main(int(sys.argv[1]), int(sys.argv[2])))
