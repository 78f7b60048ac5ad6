"""Free TCP ports for processes of a test."""

import random
import socket

# Below the ports that the system gives to outgoing connections (32768 up),
# which could take a port between its choice and its use.
FIRST_PORT = 10_000
LAST_PORT = 32_000


def take_ports(count: int) -> list[int]:
    """Return free TCP ports of the loopback address.

    The sockets are held until all ports are known, so that no port comes
    twice.

    Args:
        count: Number of ports.

    Returns:
        The ports.
    """
    source = random.SystemRandom()
    sockets = []
    try:
        while len(sockets) < count:
            item = socket.socket()
            try:
                item.bind(('', source.randint(FIRST_PORT, LAST_PORT)))
            except OSError:
                item.close()
                continue
            sockets.append(item)
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
