"""Free TCP ports for processes of a test."""

import random
import socket

# Below the range that the kernel takes ports of outgoing connections from;
# such a connection could otherwise take a port before its process starts.
FIRST_PORT = 10_000
LAST_PORT = 32_000


def take_ports(count: int) -> list[int]:
    """Return TCP ports that are free at all addresses.

    The sockets are held until all ports are known, so that no port comes
    twice.

    Args:
        count: Number of ports.

    Returns:
        The ports.
    """
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            item = socket.socket()
            try:
                item.bind(('', random.randint(FIRST_PORT, LAST_PORT)))
            except OSError:
                item.close()
                continue
            sockets.append(item)
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
