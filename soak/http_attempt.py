"""Sends one HTTP request over an open client connection."""

import asyncio
import time

from soak import sent_request

# Response timeout of a client, sent as the deadline of each request. It also
# bounds the wait for a connection.
CLIENT_TIMEOUT_S = 3.0

# Status of a request over the limit of its organisation.
QUOTA_STATUS = 429


async def send(
    request: sent_request.SentRequest,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    body: bytes,
) -> bool:
    """Send a request and record its response in it.

    Args:
        request: The request; its outcome is stored in it.
        reader: Stream to read the response from.
        writer: Stream to write the request to.
        body: Request body.

    Returns:
        Whether the connection can be reused.
    """
    try:
        writer.write(encode(request, body))
        await writer.drain()
        request.sent_at = time.monotonic()
        return await read_answer(request, reader)
    except asyncio.IncompleteReadError as error:
        # A truncated response counts as no response.
        request.error = 'closed after %d bytes' % len(error.partial)
        request.status = 0
    except OSError as error:
        request.error = repr(error)
        request.status = 0
    return False


def encode(request: sent_request.SentRequest, body: bytes) -> bytes:
    """Encode a request with the headers that its client sends."""
    head = (
        '%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n'
        'Deadline-Milliseconds: %d\r\nContent-Length: %d\r\n'
    ) % (
        request.method,
        request.target,
        request.request_id,
        CLIENT_TIMEOUT_S * 1000,
        len(body),
    )
    if request.key:
        head += 'Authorization: Bearer %s\r\n' % request.key
    if request.claimed_organisation:
        head += 'Tenant-Name: %s\r\n' % request.claimed_organisation
    if request.closing:
        head += 'Connection: close\r\n'
    return head.encode() + b'\r\n' + body


async def read_answer(
    request: sent_request.SentRequest, reader: asyncio.StreamReader
) -> bool:
    """Read and check a response; return whether to keep the connection."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head.split('\r\n')
    headers = {}
    for item in rest:
        name, _, value = item.partition(': ')
        headers[name.lower()] = value
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    request.status = int(line.split(' ')[1])
    request.mismatch = find_mismatch(request, headers, body)
    return headers.get('connection') != 'close'


def find_mismatch(
    request: sent_request.SentRequest, headers: dict[str, str], body: bytes
) -> str:
    """Return how a response differs from the expected one, or nothing."""
    answered = headers.get('request-id', request.request_id)
    if answered != request.request_id:
        return 'answer to %s' % answered
    if request.status == QUOTA_STATUS and 'retry-after' not in headers:
        return '429 without a time for another attempt'
    if request.status != 200:
        return ''
    if headers.get('response-signature') != 's-' + request.request_id:
        return 'success without the signature of this request'
    if len(body) != request.size:
        return '%d bytes in place of %d' % (len(body), request.size)
    return ''
