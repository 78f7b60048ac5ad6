"""Allocation of free TCP ports for test processes."""

import itertools
import os
import random
import socket

# Below the ephemeral port range (32768 and up): an outgoing connection could
# otherwise occupy a port between its allocation and its use.
FIRST_PORT = 10_000

# Concurrent test runs allocate from separate partitions. A run cycles through
# its whole partition before it reuses a port, because a process may bind its
# port only after the next one has been allocated.
PARTS = 20
PART_PORTS = 1_100


def draw_part() -> itertools.cycle:
    """Cycle over this process's partition from a random port."""
    first = FIRST_PORT + os.getpid() % PARTS * PART_PORTS
    offset = random.SystemRandom().randrange(PART_PORTS)
    return itertools.cycle(
        first + (offset + index) % PART_PORTS for index in range(PART_PORTS)
    )


PORTS = draw_part()


def take_ports(count: int) -> list[int]:
    """Return TCP ports that are free on all addresses.

    Args:
        count: Number of ports.

    Returns:
        The ports; none was returned earlier in the current cycle.
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
