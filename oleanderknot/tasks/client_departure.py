"""Notices that a client has left without reading from its connection."""

import socket
import typing

# States of a TCP socket whose other side has closed or reset the connection;
# see ``include/net/tcp_states.h`` of Linux. The first byte of ``TCP_INFO`` is
# the state of the socket.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8


def has_left(transport: typing.Any) -> bool:
    """Return whether the client has closed its side of a connection.

    An event loop reports it only after all received bytes have been read.

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
