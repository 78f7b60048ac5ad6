"""Asks the local upstream for its status."""

import asyncio
import collections.abc

from oleanderknot import model
from oleanderknot import transport

# A check waits for a slot of the upstream like a request. Giving up earlier
# would lose its place in the queue.
CHECK_TIMEOUT_S = 3.0

UNAVAILABLE_STATUS = 503


async def check_status(
    path: str,
    *,
    host: str,
    port: int,
    parse_headers: collections.abc.Callable[
        [model.Headers], model.ResponseMetadata
    ],
) -> model.UpstreamStatus | None:
    """Send a status check on a connection of its own.

    Args:
        path: Path of the status check.
        host: IP address of the upstream.
        port: TCP port of the upstream.
        parse_headers: Decodes the headers of its response.

    Returns:
        The status; None if the upstream does not answer within
        ``CHECK_TIMEOUT_S``, cannot be reached, or breaks off.
    """
    loop = asyncio.get_running_loop()
    connection = transport.ResponseConnection(
        decode_headers=parse_headers, budget=transport.ReceiveBudget()
    )
    head = 'GET %s HTTP/1.1\r\nHost: %s:%d\r\n\r\n' % (path, host, port)
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            await loop.create_connection(lambda: connection, host, port)
            answer = await connection.request([head.encode('latin-1')], '')
    except (OSError, TimeoutError, transport.ConnectionCutError):
        return None
    finally:
        connection.abort()
    return model.UpstreamStatus(
        upstream=answer.metadata.upstream,
        unavailable=answer.status == UNAVAILABLE_STATUS,
        closing=answer.metadata.closing,
    )
