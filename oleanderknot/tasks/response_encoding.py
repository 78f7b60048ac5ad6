"""Encodes the responses to clients."""

import http

from oleanderknot import model

# Delay after which a client may send a request again for which there was no
# memory.
RETRY_AFTER_S = 1

# Longest body that is copied behind the head, to be sent in one packet.
MAX_COPIED_BYTES = 16 * 1024

REASON_PHRASES = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


def encode_response(
    request: model.HttpRequest,
    response: model.HttpResponse,
    *,
    keep_alive: bool,
) -> list[bytes]:
    """Encode a complete response; a long body is not copied.

    Args:
        request: Request that it answers.
        response: The response.
        keep_alive: Whether the connection stays open after it.
    """
    status = response.status
    parts = [
        b'HTTP/1.1 %d %b\r\n'
        % (status, REASON_PHRASES.get(status, b'Unknown'))
    ]
    parts.extend(b'%b: %b\r\n' % header for header in response.headers)
    if status >= 200 and status not in (204, 304):
        parts.append(b'Content-Length: %d\r\n' % len(response.content))
    parts.append(b'\r\n' if keep_alive else b'Connection: close\r\n\r\n')
    content = b'' if request.method == 'HEAD' else response.content
    if len(content) > MAX_COPIED_BYTES:
        return [b''.join(parts), content]
    parts.append(content)
    return [b''.join(parts)]


def encode_rejection(status: int) -> bytes:
    """Encode the response to a request that is not handled."""
    retry_after = b''
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        retry_after = b'Retry-After: %d\r\n' % RETRY_AFTER_S
    return (
        b'HTTP/1.1 %d %b\r\n%bContent-Length: 0\r\n'
        b'Connection: close\r\n\r\n'
        % (status, REASON_PHRASES[status], retry_after)
    )
