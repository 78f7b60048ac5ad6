"""Connections to other nodes."""

import asyncio
import ssl

from absl import logging

from oleanderknot import model
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_handlers

# The brief's sizes give 1 ms for a connection; a lost SYN is sent again
# after one second, so a longer wait would only hide a dead path.
CONNECT_TIMEOUT_S = 1.0

# A wrong certificate fails at each attempt, several times a second.
TLS_LOG_PERIOD_S = 30


class PeerPool:
    """Keeps one connection to each node that this node talks to.

    Attributes:
        identity: Identity of this node.
        handlers: What the node does with messages.
        local_host: IP address that outgoing connections come from; None
            lets the system choose.
        tls: TLS for outgoing connections; None for plain TCP.
        connections: Open connection by instance.
        dialling: Running attempts to connect, by instance.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        handlers: peer_handlers.PeerHandlers,
        local_host: str | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.identity = identity
        self.handlers = handlers
        self.local_host = local_host
        self.tls = tls
        self.connections: dict[str, peer_connection.PeerConnection] = {}
        self.dialling: dict[str, asyncio.Task] = {}

    def find(self, instance: str) -> peer_connection.PeerConnection | None:
        """Return the open connection to an instance, if there is one."""
        return self.connections.get(instance)

    async def connect(
        self, member: model.Member
    ) -> peer_connection.PeerConnection:
        """Return a connection to a node; callers at once share one attempt.

        Args:
            member: The node.

        Returns:
            A connection whose handshake is done.

        Raises:
            ConnectionError: The node cannot be reached.
        """
        connection = self.connections.get(member.instance)
        if connection is not None:
            return connection
        task = self.dialling.get(member.instance)
        if task is None:
            task = asyncio.create_task(
                self.dial(
                    member.host,
                    member.peer_port,
                    (member.instance, member.incarnation),
                )
            )
            self.dialling[member.instance] = task
            task.add_done_callback(
                lambda done: self.finish_dialling(member.instance, done)
            )
        return await asyncio.shield(task)

    def finish_dialling(self, instance: str, task: asyncio.Task) -> None:
        """Forget an attempt and mark its error as seen."""
        self.dialling.pop(instance, None)
        if not task.cancelled():
            task.exception()

    async def dial(
        self, host: str, port: int, target: tuple[str, int]
    ) -> peer_connection.PeerConnection:
        """Open a connection to an address.

        Args:
            host: IP address.
            port: TCP port.
            target: Instance and incarnation expected there; an empty name
                and 0 accept any.

        Returns:
            A connection whose handshake is done.

        Raises:
            ConnectionError: The node cannot be reached or is another one.
        """
        loop = asyncio.get_running_loop()
        connection = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: peer_connection.PeerConnection(
                        identity=self.identity,
                        handlers=self.handlers,
                        target=target,
                    ),
                    host,
                    port,
                    ssl=self.tls,
                    local_addr=self.local_host and (self.local_host, 0),
                )
                await asyncio.shield(connection.ready)
        except (OSError, TimeoutError) as error:
            if connection is not None:
                connection.close('handshake failed')
            if isinstance(error, ssl.SSLError):
                self.handlers.count('peer.tls_failed')
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'TLS with the node at %s:%d failed: %s',
                    TLS_LOG_PERIOD_S,
                    host,
                    port,
                    error,
                )
            raise ConnectionError(
                'cannot reach %s at %s:%d: %s'
                % (target[0] or 'a node', host, port, error or 'timeout')
            ) from error
        return connection

    def add(self, connection: peer_connection.PeerConnection) -> None:
        """Take a connection whose handshake is done, whoever dialled it."""
        self.connections[connection.peer.instance] = connection

    def remove(self, connection: peer_connection.PeerConnection) -> None:
        """Forget a connection that has ended."""
        peer = connection.peer
        if peer and self.connections.get(peer.instance) is connection:
            del self.connections[peer.instance]

    def close(self) -> None:
        """End all connections."""
        for task in list(self.dialling.values()):
            task.cancel()
        for connection in list(self.connections.values()):
            connection.close('the node stops')
