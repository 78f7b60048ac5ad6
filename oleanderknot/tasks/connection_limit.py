"""Bounds the number of client connections of a listener."""

import collections.abc
import functools
import resource
import typing

if typing.TYPE_CHECKING:
    from oleanderknot.tasks import client_connection

# Part of the process's descriptors that client connections may take. The rest
# is for upstreams, other nodes and the store.
DESCRIPTOR_SHARE = 3 / 4


@functools.cache
def find_descriptor_bound() -> int:
    """Return the number of connections that the process may accept."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(1, int(soft * DESCRIPTOR_SHARE))


def find_bound(max_connections: int) -> int:
    """Return the number of connections that a listener may have open."""
    return min(max_connections, find_descriptor_bound())


def choose(
    connections: collections.abc.Iterable[
        'client_connection.ClientConnection'
    ],
) -> 'client_connection.ClientConnection | None':
    """Choose the connection that is closed for a new one.

    Those that have sent nothing go first, the oldest before all others, then
    those whose request head is not complete, then slow transfers. None is
    returned if there is no such connection; the new one is closed then.
    """
    chosen = None
    lowest = None
    for connection in connections:
        order = find_order(connection)
        if order is not None and (lowest is None or order < lowest):
            chosen, lowest = connection, order
    return chosen


def find_order(
    connection: 'client_connection.ClientConnection',
) -> tuple[int, float] | None:
    """Return the place in the order of closing; None for the last ones."""
    if not connection.memory.received:
        return 0, connection.timeout_started_at
    if (
        not connection.pipeline.busy
        and connection.parser.started
        and not connection.parser.head_complete
    ):
        return 1, connection.timeout_started_at
    if connection.memory.is_slow():
        return 2, connection.memory.lease.progress.rate
    return None
