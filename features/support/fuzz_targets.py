"""Parsers of bytes from outside, by the name in the feature file."""

import collections.abc
import functools
import json
import typing

from expression import Result
import httptools
from hypothesis import strategies

from features.support import frame_stream
from features.support import fuzz_frames
from features.support import fuzz_http
from features.support import fuzz_json
from features.support import fuzz_target
from features.support import http_streams
from features.support import parsed_stream
from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform
from oleanderknot import transport
from oleanderknot import wire
from oleanderknot.platform import object_client
from oleanderknot.platform import row_store_client
from oleanderknot.platform import table_client
from oleanderknot.tasks import claim_store
from oleanderknot.tasks import invalid_request

# Memory of a parser without input and of the objects that it makes.
FIXED_BYTES = 64 * 1024

# Size of the smallest header line as a parser counts it, and of its objects.
SMALLEST_LINE_BYTES = 6
LINE_OBJECT_BYTES = 200


class RejectedError(Exception):
    """Raised for a result that holds a fault, and for an unknown claim."""


def unwrap(
    parse: collections.abc.Callable[
        [bytes], Result[typing.Any, model.PlatformFault]
    ],
) -> collections.abc.Callable[[bytes], object]:
    """Return a parser that raises the fault of a result."""

    def parse_or_raise(data: bytes) -> object:
        result = parse(data)
        if result.is_error():
            raise RejectedError(result.error.detail)
        return result.ok

    return parse_or_raise


def read_text(
    parse: collections.abc.Callable[[str], object],
) -> collections.abc.Callable[[bytes], object]:
    """Return a parser of bytes that the store client has made a text."""
    return lambda data: parse(data.decode(errors='replace'))


def read_row(
    parse: collections.abc.Callable[[model.TableRow], object], key: str
) -> collections.abc.Callable[[bytes], object]:
    """Return a parser of the value of a row."""
    return read_text(
        lambda text: parse(model.TableRow(key=key, version=1, value=text))
    )


def parse_claim(row: model.TableRow) -> model.Claim:
    """Parse a claim row; a malformed one gives an unknown claim."""
    claim = claim_store.parse_claim(row)
    if claim.state is model.ClaimState.UNKNOWN:
        raise RejectedError(claim.detail)
    return claim


def parse_store_rows(
    data: bytes,
) -> Result[model.RowBatch, model.PlatformFault]:
    """Parse bytes as the rows and as the epoch of a store reply."""
    headers = [(row_store_client.EPOCH_HEADER, data)]
    epoch = row_store_client.parse_epoch(headers)
    return row_store_client.parse_rows(data, epoch)


def parse_heartbeat(data: bytes) -> model.UpstreamHeartbeat:
    """Parse a heartbeat and check its port."""
    heartbeat = platform.heartbeat.parse_heartbeat('u1', data)
    assert 0 < heartbeat.port < 65536, heartbeat.port
    return heartbeat


def build_stream(
    open_stream: collections.abc.Callable[[], parsed_stream.ParsedStream],
    **fields: typing.Any,
) -> fuzz_target.FuzzTarget:
    """Build the target of a parser that is fed in pieces."""
    return fuzz_target.FuzzTarget(
        parse=lambda data: open_stream().run([data]),
        open_stream=open_stream,
        **fields,
    )


def bound_http(head_bytes: int, body_bytes: int) -> int:
    """Return the memory of an HTTP parser; a part may be there twice."""
    lines = head_bytes // SMALLEST_LINE_BYTES
    return (
        2 * (head_bytes + body_bytes) + lines * LINE_OBJECT_BYTES + FIXED_BYTES
    )


def repeat(start: bytes, *parts: bytes) -> list[tuple[bytes, bytes]]:
    """Return inputs that start alike and repeat one of the parts."""
    return [(start, part) for part in parts]


REQUEST = b'POST / HTTP/1.1\r\nHost: a\r\n'
RESPONSE = b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
LINES = (b'a:\r\n', b'a: b\r\n', b'a', b'a: ' + b'b' * 500 + b'\r\n')
TRAILERS = (*LINES, b': a\r\n')
CHUNKS = (b'1\r\na\r\n', b'200\r\n' + b'a' * 512 + b'\r\n', b'1;', b'0')
UPGRADE = b'GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x'

DOCUMENT_PARSERS = {
    'store replies': unwrap(parse_store_rows),
    'table replies': unwrap(table_client.parse_rows),
    'lists of objects': unwrap(object_client.parse_keys),
    'stored nodes': read_text(border.NodeRow.model_validate_json),
    'stored peers': read_text(border.parse_peer_row),
    'stored departures': read_text(border.parse_departure),
    'stored claims': read_row(parse_claim, 'k'),
    'stored alerts': read_text(border.parse_alert),
    'stored ticket heads': read_row(border.ticket_rows.parse_head, 'k'),
    'stored tickets': read_row(
        border.ticket_rows.parse_ticket, 'ticket/000000000001'
    ),
    'stored scopes': read_row(border.ticket_rows.parse_scope, 'scope/global'),
    'stored accounts': border.parse_batch,
    'heartbeats': parse_heartbeat,
    'deregistrations': platform.heartbeat.parse_deregistration,
    'announcements': border.Announcement.model_validate_json,
    'policy documents': read_text(platform.policy_document.parse_policy),
    'policies of nodes': read_text(border.parse_traffic_policy),
}

TARGETS = {
    'client requests': build_stream(
        http_streams.open_requests,
        errors=(
            invalid_request.InvalidRequestError,
            httptools.HttpParserError,
        ),
        valid=fuzz_http.requests,
        build_extremes=fuzz_http.build_extreme_requests,
        endless=(
            repeat(b'', b'a', b'\r\n', UPGRADE + b'\r\n\r\n')
            + repeat(b'GET /', b'a')
            + repeat(REQUEST, *LINES)
            + repeat(REQUEST + b'a: ', b'a', b' ')
            + repeat(REQUEST + CHUNKED, *CHUNKS)
            + repeat(REQUEST + CHUNKED + b'0\r\n', *TRAILERS)
            + repeat(REQUEST + CHUNKED + b'0\r\na: ', b'a')
        ),
        ending=b'\r\n\r\n\0',
        max_held_bytes=bound_http(
            http_streams.LIMITS.max_header_bytes,
            http_streams.LIMITS.max_body_bytes,
        ),
    ),
    'upstream responses': build_stream(
        http_streams.open_response,
        errors=(transport.ConnectionCutError,),
        valid=fuzz_http.responses,
        build_extremes=fuzz_http.build_extreme_responses,
        endless=(
            repeat(b'', b'a', b'\r\n', b'HTTP/1.1 100 C\r\n\r\n')
            + repeat(RESPONSE, *LINES)
            + repeat(RESPONSE + b'\r\n', b'a')
            + repeat(RESPONSE + CHUNKED, *CHUNKS)
            + repeat(RESPONSE + CHUNKED + b'0\r\n', *TRAILERS)
            + repeat(RESPONSE + CHUNKED + b'0\r\na: ', b'a')
        ),
        max_held_bytes=bound_http(
            transport.MAX_OVERHEAD_BYTES, http_streams.MAX_RESPONSE_BYTES
        ),
    ),
    'frames between nodes': build_stream(
        frame_stream.open_frames,
        errors=(wire.BadFrame,),
        valid=strategies.sampled_from(fuzz_frames.VALID),
        build_extremes=fuzz_frames.build_extremes,
        endless=(
            repeat(b'\xff', b'a')
            + repeat(b'\0\x10\0\0', b'a', b'\x1c')
            + repeat(b'', b'\0', b'\0\0\0\1')
        ),
        max_held_bytes=2 * wire.MAX_FRAME_BYTES + FIXED_BYTES,
    ),
    **{
        name: fuzz_target.FuzzTarget(
            parse=parse,
            errors=(ValueError, RejectedError),
            valid=strategies.just(
                json.dumps(fuzz_json.DOCUMENTS[name]).encode()
            ),
            build_extremes=functools.partial(
                fuzz_json.build_extremes, fuzz_json.DOCUMENTS[name]
            ),
        )
        for name, parse in DOCUMENT_PARSERS.items()
    },
    'route queries': fuzz_target.FuzzTarget(
        parse=lambda data: border.parse_route_query(data.decode('latin-1')),
        errors=(ValueError,),
        valid=strategies.sampled_from(
            (
                b'/-/route?host=a&path=/',
                b'/-/route?host=A%3A80&path=%2Fx&method=POST&request_id=r1'
                b'&organisation=o%C3%A9',
            )
        ),
        build_extremes=lambda: [
            b'/-/route?host=a&path=/&' + name + value
            for name in (b'host=', b'path=/', b'method=', b'%=', b'//[')
            for value in (b'9' * 5000, b'%ED%A0%80', b'\xff', b'&' * 5000)
        ],
    ),
}
