"""Reads requests of callers and sends answers to them."""

from absl import logging
from aiohttp import web

from oleanderknot import model
from oleanderknot.tasks import http_answer
from oleanderknot.tasks import request_body
from oleanderknot.tasks import send_window

MAX_BODY_BYTES = 1 << 30


async def read_body(
    request: web.BaseRequest,
) -> tuple[bytes, model.Body | None]:
    """Read a short request body, or return a reader for a long one.

    Args:
        request: The request.

    Returns:
        The first bytes, and a reader for the rest; None if there is no rest.

    Raises:
        IncompleteBodyError: The caller closed the connection, or the body
            is too large.
    """
    if not request.body_exists:
        return b'', None
    if request.headers.get('Expect', '').lower() == '100-continue':
        await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        # aiohttp must not count the interim response as output of the
        # final one.
        request.writer.output_size = 0
    rest = request_body.RequestBody(request=request, limit=MAX_BODY_BYTES)
    length = request.content_length
    if length is None or length > send_window.CHUNK_BYTES:
        return b'', rest
    parts = []
    while data := await rest.read():
        parts.append(data)
    return b''.join(parts), None


async def send_answer(
    request: web.BaseRequest, answer: model.Answer
) -> tuple[web.StreamResponse, model.Rule | None]:
    """Send an answer to the caller; a truncated one aborts the connection.

    Args:
        request: The request.
        answer: The answer.

    Returns:
        The response, which has been sent if its body was streamed, and the
        rule that truncated it; None if it is complete.
    """
    if answer.body is None:
        disconnected = (
            request.transport is None or request.transport.is_closing()
        )
        return (
            http_answer.build_response(request, answer),
            model.Rule.CALLER_LEFT if disconnected else None,
        )
    response = http_answer.build_stream(answer)
    truncated_by: model.Rule | None = model.Rule.CALLER_LEFT
    try:
        await response.prepare(request)
        if answer.content:
            await response.write(answer.content)
        while data := await answer.body.read():
            await response.write(data)
        await response.write_eof()
        truncated_by = None
    except (model.IncompleteBodyError, OSError) as error:
        if isinstance(error, model.IncompleteBodyError):
            truncated_by = error.rule
        logging.warning(
            'response to %s was truncated: %s', request.path, error
        )
        # Aborts the connection before the last chunk, so that the caller
        # cannot mistake the response for a complete one.
        if request.transport is not None:
            request.transport.abort()
    finally:
        if truncated_by is not None:
            answer.body.cancel()
    return response, truncated_by
