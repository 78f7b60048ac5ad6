"""Allocation of free TCP ports for test processes."""

import fcntl
import itertools
import os
import pathlib
import random
import socket
import tempfile
import typing

# Below the ephemeral port range (32768 and up): an outgoing connection could
# otherwise occupy a port between its allocation and its use.
FIRST_PORT = 10_000

# Concurrent test runs allocate from separate partitions. A run cycles through
# its whole partition before it reuses a port, because a process may bind its
# port only after the next one has been allocated.
PARTITION_COUNT = 20
PORTS_PER_PARTITION = 1_100


# Open lock file of this process's partition; the lock ends with the process.
LOCK_FILES: list[typing.IO] = []


def lock_partition() -> int:
    """Lock a partition that no other test run uses and return its number.

    Raises:
        RuntimeError: All partitions are in use.
    """
    folder = pathlib.Path(tempfile.gettempdir())
    for index in range(PARTITION_COUNT):
        number = (os.getpid() + index) % PARTITION_COUNT
        file = (folder / ('oleanderknot-ports-%d.lock' % number)).open('w')
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            continue
        LOCK_FILES.append(file)
        return number
    raise RuntimeError(
        'all %d partitions of ports are in use' % PARTITION_COUNT
    )


def cycle_partition() -> itertools.cycle:
    """Cycle over this process's partition from a random port."""
    first = FIRST_PORT + lock_partition() * PORTS_PER_PARTITION
    offset = random.SystemRandom().randrange(PORTS_PER_PARTITION)
    return itertools.cycle(
        first + (offset + index) % PORTS_PER_PARTITION
        for index in range(PORTS_PER_PARTITION)
    )


PORT_CYCLE = cycle_partition()


def allocate_ports(count: int) -> list[int]:
    """Return TCP ports that are free on all addresses.

    Args:
        count: Number of ports.

    Returns:
        The ports; none was returned earlier in the current cycle.
    """
    found: list[int] = []
    while len(found) < count:
        port = next(PORT_CYCLE)
        with socket.socket() as probe_socket:
            try:
                probe_socket.bind(('', port))
            except OSError:
                continue
        found.append(port)
    return found
