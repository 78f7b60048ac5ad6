"""Finds out whether other nodes have handled what was sent to them."""

import asyncio
import collections.abc

from oleanderknot.tasks import peer_connection


async def wait_until_received(
    connections: collections.abc.Iterable[peer_connection.PeerConnection],
    timeout_s: float,
) -> bool:
    """Wait until one of the peers has handled all earlier messages.

    A node handles the messages of a connection in order, so its response to
    any query shows that it has handled those before.

    Args:
        connections: Connections to the peers.
        timeout_s: Longest wait in seconds.

    Returns:
        Whether a peer has responded in time.
    """
    queries = [asyncio.ensure_future(query(item)) for item in connections]
    try:
        for completed in asyncio.as_completed(queries, timeout=timeout_s):
            if await completed:
                return True
    except TimeoutError:
        pass
    finally:
        for item in queries:
            item.cancel()
    return False


async def query(connection: peer_connection.PeerConnection) -> bool:
    """Send a query about no key; return whether the peer responded."""
    try:
        await connection.query_key('', 0.0)
    except (ConnectionError, TimeoutError):
        return False
    return True
