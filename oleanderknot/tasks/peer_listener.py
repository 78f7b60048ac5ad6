"""Accepts connections of other nodes."""

import asyncio
import ssl

from oleanderknot import model
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_handlers


class PeerListener:
    """Owns the listening socket for other nodes.

    Attributes:
        identity: Identity of this node.
        handlers: Functions that handle the messages of accepted connections.
        tls: TLS for accepted connections; None for plain TCP.
        server: The listening server; None before ``bind``.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        handlers: peer_handlers.PeerHandlers,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.identity = identity
        self.handlers = handlers
        self.tls = tls
        self.server: asyncio.Server | None = None

    async def bind(self, host: str, port: int) -> int:
        """Bind the address; connections are refused until ``start``.

        Args:
            host: IP address.
            port: TCP port; 0 chooses a free one.

        Returns:
            The TCP port.

        Raises:
            OSError: The address cannot be bound.
        """
        self.server = await asyncio.get_running_loop().create_server(
            self.build_connection,
            host,
            port,
            ssl=self.tls,
            start_serving=False,
        )
        return self.server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Start accepting connections."""
        await self.server.start_serving()

    def build_connection(self) -> peer_connection.PeerConnection:
        """Build the protocol object of an accepted connection."""
        return peer_connection.PeerConnection(
            identity=self.identity, handlers=self.handlers, target=None
        )

    def close(self) -> None:
        """Stop accepting connections."""
        if self.server is not None:
            self.server.close()
