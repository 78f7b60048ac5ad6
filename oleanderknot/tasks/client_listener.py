"""Accepts the HTTP connections of clients."""

import asyncio
import collections.abc

from absl import logging

from oleanderknot import model
from oleanderknot.tasks import client_connection

HandleFunction = collections.abc.Callable[
    [model.HttpRequest], collections.abc.Awaitable[model.HttpResponse]
]

# Length of the accept queue. When it is full, a client retries its connection
# only after seconds.
BACKLOG = 1024

# Period of the check of all connections for timeouts. The shortest timeout,
# that of a request's head, is several times as long.
SWEEP_S = 0.5

# Invalid requests are logged at most once in this period.
FAULT_LOG_PERIOD_S = 1


class ClientListener:
    """Owns a listening socket and the client connections accepted on it.

    Attributes:
        handle: Returns the response to a request.
        limits: Returns the limits in force.
        count: Counts an event by name.
        connections: Open connections.
        active: Number of connections that answer requests.
        idle: Set while ``active`` is 0.
        closing: Whether connections close after their current request.
        sweeper: Timer of the next check of all connections.
    """

    def __init__(
        self,
        *,
        handle: HandleFunction,
        limits: collections.abc.Callable[[], model.ClientLimits],
        count: collections.abc.Callable[[str], None],
    ) -> None:
        self.handle = handle
        self.limits = limits
        self.count = count
        self.loop = asyncio.get_running_loop()
        self.connections: set[client_connection.ClientConnection] = set()
        self.sockets: asyncio.Server | None = None
        self.active = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.closing = False
        self.sweeper: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> None:
        """Start to accept connections on an address.

        Args:
            host: IP address.
            port: TCP port.

        Raises:
            OSError: The address cannot be used.
        """
        self.sockets = await self.loop.create_server(
            lambda: client_connection.ClientConnection(listener=self),
            host,
            port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)

    def sweep(self) -> None:
        """Close connections that exceed a timeout; runs once a period.

        A timer per connection would have to be set and cancelled twice for
        each request.
        """
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)
        now = self.loop.time()
        limits = self.limits()
        for connection in list(self.connections):
            connection.check_time(now, limits)

    def enter(self) -> None:
        """Count a connection that begins to answer requests."""
        self.active += 1
        self.idle.clear()

    def leave(self) -> None:
        """Count a connection that has no more requests to answer."""
        self.active -= 1
        if self.active == 0:
            self.idle.set()

    def note_fault(self, status: int, detail: str) -> None:
        """Count an invalid request and log it at a limited rate."""
        self.count('client.fault.%d' % status)
        logging.log_every_n_seconds(
            logging.INFO,
            'rejected an invalid request with status %d: %s',
            FAULT_LOG_PERIOD_S,
            status,
            detail,
        )

    def finish(self) -> None:
        """Close each connection after its current request."""
        self.closing = True

    def close_idle(self) -> None:
        """Stop accepting and close the connections without a request."""
        self.closing = True
        if self.sockets is not None:
            self.sockets.close()
        for connection in list(self.connections):
            connection.end_idle()

    def close(self) -> None:
        """Abort all connections."""
        self.close_idle()
        if self.sweeper is not None:
            self.sweeper.cancel()
        for connection in list(self.connections):
            connection.transport.abort()
