"""Free TCP ports for processes of a test."""

import itertools
import os
import random
import socket

# Below the ports that the system gives to outgoing connections (32768 up),
# which could take a port between its choice and its use.
FIRST_PORT = 10_000

# Runs side by side draw from parts of their own, and a run uses each port of
# its part once before it comes again: a process may bind its port only after
# the next one has been drawn.
PARTS = 20
PART_PORTS = 1_100


def draw_part() -> itertools.cycle:
    """Return the ports of this process's part, from a random one on."""
    first = FIRST_PORT + os.getpid() % PARTS * PART_PORTS
    offset = random.SystemRandom().randrange(PART_PORTS)
    return itertools.cycle(
        first + (offset + index) % PART_PORTS for index in range(PART_PORTS)
    )


PORTS = draw_part()


def take_ports(count: int) -> list[int]:
    """Return TCP ports that are free at all addresses.

    Args:
        count: Number of ports.

    Returns:
        The ports; none of them was returned recently.
    """
    found: list[int] = []
    while len(found) < count:
        port = next(PORTS)
        with socket.socket() as item:
            try:
                item.bind(('', port))
            except OSError:
                continue
        found.append(port)
    return found
