"""Sends several HTTP requests over a connection without waiting."""

import asyncio
import time

from soak import http_attempt
from soak import sent_request


async def send(
    requests: list[sent_request.SentRequest],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Send requests and record their responses, in the order of the requests.

    Requests behind a response that closes the connection are marked as
    unread.

    Args:
        requests: The requests; their outcomes are stored in them.
        reader: Stream to read the responses from.
        writer: Stream to write the requests to.

    Returns:
        Whether the connection can be reused.
    """
    waiting = list(requests)
    try:
        writer.write(
            b''.join(http_attempt.encode(item, b'') for item in requests)
        )
        await writer.drain()
        sent_at = time.monotonic()
        for item in requests:
            item.sent_at = sent_at
        keep = True
        while waiting and keep:
            keep = await http_attempt.read_answer(waiting[0], reader)
            waiting.pop(0).ended_at = time.monotonic()
    except asyncio.IncompleteReadError as error:
        for item in waiting:
            item.error = 'closed after %d bytes' % len(error.partial)
            item.status = 0
        return False
    except OSError as error:
        for item in waiting:
            item.error = repr(error)
            item.status = 0
        return False
    for item in waiting:
        item.unread = True
    return keep
