"""Pool of connections to other nodes."""

import asyncio
import contextlib
import ssl
import time

from absl import logging

from oleanderknot import model
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_handlers
from oleanderknot.tasks import reachability

# Connections that have received nothing for this long are closed. Otherwise,
# with 1,200 nodes, each would end up with a connection to every other one.
IDLE_TIMEOUT_S = 60.0
IDLE_CHECK_PERIOD_S = 5.0

# The sizes of the design assume 1 ms for connecting; regions are up to 35 ms
# apart one way. A lost SYN is sent again only after one second, so a longer
# timeout would only delay the detection of a dead path.
CONNECT_TIMEOUT_S = 0.5

# Delay between two attempts to reach an unreachable node. An attempt costs two
# packets, and a restarted node is found as fast as by a heartbeat.
REDIAL_DELAY_S = 0.5

# With a wrong certificate every attempt fails, several times per second.
TLS_LOG_PERIOD_S = 30


class PeerPool:
    """Owns the connections to other nodes and the attempts to connect.

    Attributes:
        identity: Identity of this node.
        handlers: Functions that handle received messages.
        local_host: IP address that outgoing connections come from; None
            lets the system choose.
        tls: TLS for outgoing connections; None for plain TCP.
        connections: Connection for new calls, by instance.
        open_connections: All connections with a complete handshake. Two nodes
            that dial each other at the same time have two; the older one is
            closed when idle.
        dialling: Running attempts to connect, by instance.
        reachability: Nodes that could not be reached.
        all_closed: Set when the last connection has closed.
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
        self.open_connections: set[peer_connection.PeerConnection] = set()
        self.dialling: dict[str, asyncio.Task] = {}
        self.reachability = reachability.Reachability()
        self.all_closed = asyncio.Event()

    def find(
        self, instance: str, received_since: float = 0.0
    ) -> peer_connection.PeerConnection | None:
        """Return the open connection to an instance, if there is one.

        Args:
            instance: Name of the instance.
            received_since: Loop time in seconds; a connection that has
                received nothing since then does not count.
        """
        connection = self.connections.get(instance)
        if (
            connection is not None
            and connection.last_received_at < received_since
        ):
            return None
        return connection

    async def connect(
        self,
        member: model.Member,
        received_since: float = 0.0,
        *,
        any_incarnation: bool = False,
    ) -> peer_connection.PeerConnection:
        """Return a connection to a node; concurrent callers share one attempt.

        Args:
            member: The node.
            received_since: See ``find``.
            any_incarnation: Whether to accept any incarnation of the
                instance.

        Returns:
            A connection whose handshake is done.

        Raises:
            ConnectionError: The node cannot be reached.
        """
        connection = self.find(member.instance, received_since)
        if connection is not None:
            return connection
        task = self.dialling.get(member.instance)
        if task is None:
            task = self.start_dialling(member, any_incarnation)
        return await asyncio.shield(task)

    def start_dialling(
        self, member: model.Member, any_incarnation: bool = False
    ) -> asyncio.Task:
        """Start an attempt to connect; see ``connect``."""
        task = asyncio.create_task(
            self.dial(
                member.host,
                member.peer_port,
                (
                    member.instance,
                    0 if any_incarnation else member.incarnation,
                ),
            )
        )
        self.dialling[member.instance] = task
        task.add_done_callback(
            lambda done: self.finish_dialling(member.instance, done)
        )
        return task

    def finish_dialling(self, instance: str, task: asyncio.Task) -> None:
        """Remove a finished attempt and record its failure, if it failed."""
        self.dialling.pop(instance, None)
        if not task.cancelled() and (error := task.exception()):
            self.reachability.note_unreachable(
                instance, str(error), time.monotonic()
            )

    def may_lack_nodes(self) -> bool:
        """Return whether any node may be unreachable or overdue."""
        return bool(
            self.reachability.last_attempt_at
            or self.handlers.unanswered_probes
        )

    def is_overdue(self, member: model.Member) -> bool:
        """Return whether a node does not respond on its open connection.

        A call sent to it may be lost, and a lost call that is not idempotent
        cannot be repeated.
        """
        connection = self.connections.get(member.instance)
        return connection is not None and connection.liveness.is_overdue()

    def is_unreachable(self, member: model.Member) -> bool:
        """Return whether a node is unreachable, so that calls should avoid it.

        The node is dialled again in the background, so that calls do not
        each wait for the timeout of an attempt.
        """
        attempts = self.reachability.last_attempt_at
        instance = member.instance
        if instance not in attempts or instance in self.connections:
            return False
        last_attempt_at = attempts[instance]
        waited_s = time.monotonic() - last_attempt_at
        if waited_s >= REDIAL_DELAY_S and instance not in self.dialling:
            self.start_dialling(member)
        return True

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
                self.handlers.count_event('peer.tls_failed')
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
        """Add a connection whose handshake is complete, from either side."""
        self.open_connections.add(connection)
        self.connections[connection.peer.instance] = connection
        self.reachability.note_reachable(connection.peer.instance)

    def retire(self, connection: peer_connection.PeerConnection) -> None:
        """Exclude a connection from new calls."""
        peer = connection.peer
        if peer and self.connections.get(peer.instance) is connection:
            del self.connections[peer.instance]

    def remove(self, connection: peer_connection.PeerConnection) -> None:
        """Remove a closed connection."""
        self.retire(connection)
        self.open_connections.discard(connection)
        if connection.silent:
            self.handle_silent(connection)
        if not self.open_connections:
            self.all_closed.set()

    def handle_silent(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        """Handle a connection that was closed because it was silent."""
        # The same fault may affect other connections, which may be idle.
        for other in self.open_connections:
            other.liveness.expect_response()
        peer = connection.peer
        if peer is not None and peer.instance not in self.connections:
            # Backdated, so that the next call starts a new attempt at once.
            self.reachability.note_unreachable(
                peer.instance,
                'its connection went silent',
                time.monotonic() - REDIAL_DELAY_S,
            )

    async def run(self) -> None:
        """Close idle connections until cancelled."""
        while True:
            await asyncio.sleep(IDLE_CHECK_PERIOD_S)
            idle_since = asyncio.get_running_loop().time() - IDLE_TIMEOUT_S
            self.reachability.remove_before(time.monotonic() - IDLE_TIMEOUT_S)
            for connection in list(self.open_connections):
                if (
                    connection.last_received_at < idle_since
                    and connection.is_idle()
                ):
                    connection.graceful_close.start()

    async def close_gracefully(self, timeout_s: float) -> None:
        """Close all connections once their calls have finished.

        Args:
            timeout_s: Longest wait for the connections to close, in seconds.
        """
        self.all_closed.clear()
        for connection in list(self.open_connections):
            connection.graceful_close.start()
        if self.open_connections:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.all_closed.wait(), timeout_s)

    def close(self) -> None:
        """Cancel all attempts and abort all connections."""
        for task in list(self.dialling.values()):
            task.cancel()
        for connection in list(self.open_connections):
            connection.close('the node stops')
