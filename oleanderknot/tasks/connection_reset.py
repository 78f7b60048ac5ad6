"""Ends connections whose client does not read."""

import contextlib
import socket
import struct
import typing

# Discard what the kernel has not sent, instead of keeping it for a client
# that may never read it.
NO_LINGER = struct.pack('ii', 1, 0)


def reset(transport: typing.Any) -> None:
    """Close a connection at once and drop all that was not sent."""
    connection_socket = transport.get_extra_info('socket')
    if connection_socket is not None:
        with contextlib.suppress(OSError):
            connection_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
    transport.abort()
