"""Accepts the HTTP connections of clients."""

import asyncio
import collections.abc

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import client_connection
from oleanderknot.tasks import client_timeouts
from oleanderknot.tasks import connection_limit
from oleanderknot.tasks import connection_reset
from oleanderknot.tasks import departure_watch
from oleanderknot.tasks import parse_queue
from oleanderknot.tasks import request_pipeline

HandleFunction = request_pipeline.HandleFunction

# Length of the accept queue. When it is full, a client retries its connection
# only after seconds.
BACKLOG = 1024

# Period of the check of all connections for timeouts. The shortest timeout,
# that of a request's head, is several times as long.
SWEEP_PERIOD_S = 0.5

# Invalid requests are logged at most once in this period.
INVALID_LOG_PERIOD_S = 1


class ClientListener:
    """Owns a listening socket and the client connections accepted on it.

    Attributes:
        handle: Returns the response to a request.
        capture_check: Returns the check that decides whether a pipelined
            request may overlap with others.
        limits: Returns the limits in force.
        count: Counts an event by name.
        memory: Memory of the node.
        bounds: Returns the bounds from the settings.
        on_sweep: Called before each check of all connections.
        parse_queue: Turns of the connections that have more to parse.
        departures: Connections that are not read at the moment.
        connections: Open connections.
        active: Number of connections that answer requests.
        idle: Set while ``active`` is 0.
        closing: Whether connections close after their current request.
        sweep_timer: Timer of the next check of all connections.
    """

    def __init__(
        self,
        *,
        handle: HandleFunction,
        limits: collections.abc.Callable[[], model.ClientLimits],
        count: collections.abc.Callable[[str], None],
        memory: decisions.NodeMemory | None = None,
        bounds: collections.abc.Callable[
            [], model.ClientBounds
        ] = model.ClientBounds,
        on_sweep: collections.abc.Callable[[], None] = lambda: None,
        capture_check: request_pipeline.CaptureFunction = lambda: None,
    ) -> None:
        self.handle = handle
        self.capture_check = capture_check
        self.limits = limits
        self.count = count
        self.memory = memory or decisions.NodeMemory()
        self.bounds = bounds
        self.on_sweep = on_sweep
        self.parse_queue = parse_queue.ParseQueue()
        self.departures = departure_watch.DepartureWatch(
            on_left=self.drop_departed
        )
        self.loop = asyncio.get_running_loop()
        self.connections: set[client_connection.ClientConnection] = set()
        self.tcp_server: asyncio.Server | None = None
        self.active = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.closing = False
        self.sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> None:
        """Start to accept connections on an address.

        Args:
            host: IP address.
            port: TCP port.

        Raises:
            OSError: The address cannot be used.
        """
        self.tcp_server = await self.loop.create_server(
            lambda: client_connection.ClientConnection(listener=self),
            host,
            port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        self.sweep_timer = self.loop.call_later(SWEEP_PERIOD_S, self.sweep)

    def sweep(self) -> None:
        """Close connections that exceed a timeout; runs once a period.

        A timer per connection would have to be set and cancelled twice for
        each request.
        """
        self.sweep_timer = self.loop.call_later(SWEEP_PERIOD_S, self.sweep)
        now = self.loop.time()
        limits = self.limits()
        bounds = self.bounds()
        self.on_sweep()
        for connection in list(self.connections):
            client_timeouts.check(connection, now, limits, bounds)

    def add(self, connection: client_connection.ClientConnection) -> None:
        """Add a connection; at the bound one of all connections is closed."""
        bound = connection_limit.find_bound(self.bounds().max_connections)
        if len(self.connections) >= bound:
            closed = connection_limit.choose(self.connections)
            self.count('client.connections_full')
            connection_reset.reset((closed or connection).transport)
            if closed is None:
                return
            self.connections.discard(closed)
        self.connections.add(connection)

    def drop_departed(
        self, connection: client_connection.ClientConnection
    ) -> None:
        """Close a connection whose client has left while it was not read."""
        self.count('client.left_unread')
        connection.transport.abort()

    def count_busy(self) -> None:
        """Count a connection that begins to answer requests."""
        self.active += 1
        self.idle.clear()

    def count_idle(self) -> None:
        """Count a connection that has no more requests to answer."""
        self.active -= 1
        if self.active == 0:
            self.idle.set()

    def record_invalid_request(self, status: int, detail: str) -> None:
        """Count an invalid request and log it at a limited rate."""
        self.count('client.fault.%d' % status)
        logging.log_every_n_seconds(
            logging.INFO,
            'rejected an invalid request with status %d: %s',
            INVALID_LOG_PERIOD_S,
            status,
            detail,
        )

    def close_after_requests(self) -> None:
        """Close each connection after its current request."""
        self.closing = True

    def has_unsent(self) -> bool:
        """Return whether responses wait for their clients to read."""
        return any(
            connection.transport.get_write_buffer_size()
            for connection in self.connections
        )

    def close(self) -> None:
        """Stop accepting, and abort all connections."""
        self.closing = True
        if self.tcp_server is not None:
            self.tcp_server.close()
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        self.departures.close()
        for connection in list(self.connections):
            connection.transport.abort()
