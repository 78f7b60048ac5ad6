"""Notices clients that have left behind bytes that are not read."""

import asyncio
import collections.abc
import socket
import typing

if typing.TYPE_CHECKING:
    from oleanderknot.tasks import client_connection

# Period of the check. The requests of a client that has left should end
# within half a second.
PERIOD_S = 0.1

# States of a TCP socket whose other side has closed or reset the connection;
# see ``include/net/tcp_states.h`` of Linux. The first byte of ``TCP_INFO`` is
# the state of the socket.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8


class DepartureWatch:
    """Owns the connections of clients that are not read at the moment.

    An event loop reports the end of a connection only after all bytes before
    it have been read, so the requests of a client that has left would run on.

    Attributes:
        on_left: Called with a connection whose requests run and whose client
            has left.
        connections: Connections that are not read.
        timer: Timer of the next check; None without connections.
    """

    def __init__(
        self,
        *,
        on_left: collections.abc.Callable[
            ['client_connection.ClientConnection'], None
        ],
    ) -> None:
        self.on_left = on_left
        self.loop = asyncio.get_running_loop()
        self.connections: set[client_connection.ClientConnection] = set()
        self.timer: asyncio.TimerHandle | None = None

    def add(self, connection: 'client_connection.ClientConnection') -> None:
        """Watch a connection that is no longer read."""
        self.connections.add(connection)
        if self.timer is None:
            self.timer = self.loop.call_later(PERIOD_S, self.check)

    def discard(
        self, connection: 'client_connection.ClientConnection'
    ) -> None:
        """Stop watching a connection that is read again, or is closed."""
        self.connections.discard(connection)

    def check(self) -> None:
        """Check all connections; runs once a period while there are any."""
        self.timer = None
        for connection in list(self.connections):
            if connection.pipeline.busy and has_left(connection.transport):
                self.connections.discard(connection)
                self.on_left(connection)
        if self.connections:
            self.timer = self.loop.call_later(PERIOD_S, self.check)

    def close(self) -> None:
        """Stop watching."""
        self.connections.clear()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def has_left(transport: typing.Any) -> bool:
    """Return whether the client has closed its side of a connection.

    Args:
        transport: Transport of the connection.

    Returns:
        Whether the kernel has received the end of the connection. False on
        platforms that do not tell, and while more bytes stand before the end
        than the kernel receives.
    """
    connection_socket = transport.get_extra_info('socket')
    option = getattr(socket, 'TCP_INFO', None)
    if connection_socket is None or option is None:
        return False
    try:
        info = connection_socket.getsockopt(socket.IPPROTO_TCP, option, 1)
    except OSError:
        return False
    return info[:1] in (bytes([TCP_CLOSE]), bytes([TCP_CLOSE_WAIT]))
