"""Accepts the HTTP connections of clients."""

import asyncio
import collections.abc

from absl import logging

from oleanderknot import model
from oleanderknot.tasks import client_connection

HandleFunction = collections.abc.Callable[
    [model.HttpRequest], collections.abc.Awaitable[model.HttpResponse]
]

# A full queue of new connections costs a client seconds until it tries again.
BACKLOG = 1024

# Time between two looks at all connections. The shortest limit in use, that
# of a request's head, is several times as long.
SWEEP_S = 0.5

# Faults of clients are logged at most once in this time.
FAULT_LOG_PERIOD_S = 1


class ClientListener:
    """Owns a listening socket and its connections.

    Attributes:
        handle: Returns the answer to a request.
        limits: Returns the limits in force.
        count: Counts an event by name.
        connections: Open connections.
        active: Requests that are being answered.
        idle: Set while ``active`` is 0.
        closing: Whether connections end after their current request.
        sweeper: Timer of the next look at all connections.
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
        """Listen on an address.

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
        """End connections that have waited too long; runs once a period.

        A timer for each connection would be set and stopped twice for each
        request.
        """
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)
        now = self.loop.time()
        limits = self.limits()
        for connection in list(self.connections):
            connection.check_time(now, limits)

    def enter(self) -> None:
        """Count a connection that has a request to answer."""
        self.active += 1
        self.idle.clear()

    def leave(self) -> None:
        """Count a connection that has answered its requests."""
        self.active -= 1
        if self.active == 0:
            self.idle.set()

    def note_fault(self, status: int, detail: str) -> None:
        """Count and log a request that was not acceptable."""
        self.count('client.fault.%d' % status)
        logging.log_every_n_seconds(
            logging.INFO,
            'refused a request with status %d: %s',
            FAULT_LOG_PERIOD_S,
            status,
            detail,
        )

    def finish(self) -> None:
        """End each connection after its current request."""
        self.closing = True

    def close_idle(self) -> None:
        """Stop to accept, and end the connections without a request."""
        self.closing = True
        if self.sockets is not None:
            self.sockets.close()
        for connection in list(self.connections):
            connection.end_idle()

    def close(self) -> None:
        """End all connections at once."""
        self.close_idle()
        if self.sweeper is not None:
            self.sweeper.cancel()
        for connection in list(self.connections):
            connection.transport.abort()
