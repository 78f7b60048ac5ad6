"""Starts the parsers of HTTP connections without sockets."""

import asyncio
import types

import httptools

from features.support import fuzz_http
from features.support import parsed_stream
from oleanderknot import model
from oleanderknot import platform
from oleanderknot import transport
from oleanderknot.tasks import client_parser

LIMITS = model.ClientLimits(max_header_bytes=2048, max_body_bytes=8192)

MAX_RESPONSE_BYTES = 8192


def open_requests() -> parsed_stream.ParsedStream:
    """Start the parser of a client's requests."""

    def check(request: model.HttpRequest, keep_alive: bool) -> None:
        size = sum(map(len, (part for h in request.headers for part in h)))
        assert size + len(request.target) <= LIMITS.max_header_bytes
        assert len(request.content) <= LIMITS.max_body_bytes
        assert request.target.startswith('/')
        metadata = platform.message_headers.parse_request_headers(
            request.headers
        )
        stream.results.append((request, keep_alive, metadata))

    def feed(data: bytes) -> None:
        try:
            parser.feed(data)
        except httptools.HttpParserCallbackError as error:
            raise AssertionError('a callback failed') from error

    parser = client_parser.ClientParser(
        limits=lambda: LIMITS, on_request=check, reserve=lambda size: True
    )
    stream = parsed_stream.ParsedStream(feed=feed, finish=lambda: None)
    return stream


def open_response() -> parsed_stream.ParsedStream:
    """Start a connection that waits for one response."""

    async def connect() -> tuple[
        transport.ResponseConnection, asyncio.Future[transport.RawAnswer]
    ]:
        connection = transport.ResponseConnection(
            decode_headers=platform.message_headers.parse_response_headers,
            budget=transport.ReceiveBudget(
                max_response_bytes=MAX_RESPONSE_BYTES
            ),
        )
        connection.connection_made(
            types.SimpleNamespace(
                writelines=len, abort=int, get_write_buffer_size=int
            )
        )
        return connection, connection.request([], fuzz_http.REQUEST_ID)

    def feed(data: bytes) -> None:
        if not connection.closed:
            connection.data_received(data)

    def finish() -> None:
        if not connection.closed:
            connection.connection_lost(None)
        answer = waiter.result()
        assert 200 <= answer.status <= transport.MAX_STATUS
        assert len(answer.content) <= MAX_RESPONSE_BYTES
        stream.results.append(answer)

    connection, waiter = asyncio.run(connect())
    stream = parsed_stream.ParsedStream(feed=feed, finish=finish)
    return stream
