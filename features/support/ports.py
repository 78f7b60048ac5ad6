"""Free TCP ports for processes of a test."""

import socket


def take_ports(count: int) -> list[int]:
    """Return free TCP ports of the loopback address.

    The sockets are held until all ports are known, so that no port comes
    twice.

    Args:
        count: Number of ports.

    Returns:
        The ports.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(('127.0.0.1', 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
