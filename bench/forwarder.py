"""Bare TCP forwarder: the floor that added latency is held against."""

import asyncio
import sys

import uvloop


class ForwardProtocol(asyncio.Protocol):
    """Copies bytes to another connection as they arrive.

    Attributes:
        peer: Protocol of the other side.
    """

    def __init__(self, *, target: tuple[str, int] | None) -> None:
        self.target = target
        self.peer: ForwardProtocol | None = None
        self.transport: asyncio.Transport | None = None
        self.early = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Open the connection to the target."""
        self.transport = transport
        if self.target is not None:
            asyncio.ensure_future(self.connect())

    async def connect(self) -> None:
        """Connect to the target and send what has arrived so far."""
        _, peer = await asyncio.get_running_loop().create_connection(
            lambda: ForwardProtocol(target=None), *self.target
        )
        peer.peer = self
        self.peer = peer
        for data in self.early:
            peer.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Copy bytes."""
        if self.peer is None:
            self.early.append(data)
        else:
            self.peer.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        """End the other side."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


async def main(port: int, target_port: int) -> None:
    """Forward a port to another until killed."""
    server = await asyncio.get_running_loop().create_server(
        lambda: ForwardProtocol(target=('127.0.0.1', target_port)),
        '127.0.0.1',
        port,
    )
    await server.serve_forever()


if __name__ == '__main__':
    uvloop.run(main(int(sys.argv[1]), int(sys.argv[2])))
