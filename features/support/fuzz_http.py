"""Generates HTTP requests and responses."""

from hypothesis import strategies

REQUEST_ID = 'r1'
PADDED = b'Padded: ' + b'p' * 400

# Parts of valid messages.
REQUEST_LINES = (
    *(b'Deadline-Milliseconds: 500', b'Authorization: Bearer key'),
    *(b'Expect: 100-continue', b'Connection: close', PADDED),
    b'Connection: Upgrade, x\r\nUpgrade: h2c',
)
RESPONSE_LINES = (
    *(b'Keep-Alive: max=5, timeout=5', b'server-limit: 12.5', PADDED),
    *(b'server-leaving: 1', b'instance-id: u1', b'content-encoding: gzip'),
)
TARGETS = (b'/', b'/a?b=c', b'/%ff', b'/' + b't' * 900)
METHODS = b'GET POST HEAD PUT OPTIONS'.split()
STATUSES = b'200 404 503 599'.split()

# Parts that a parser may accept or reject.
EXTREME_NAMES = (
    *b'Content-Length Transfer-Encoding Connection Upgrade Host'.split(),
    *b'Deadline-Milliseconds Keep-Alive server-limit Request-Id'.split(),
    *(b'Authorization', b'\xc3\xa9', b'n' * 5000),
)
EXTREME_VALUES = (
    *b'nan inf -1 1e999 18446744073709551616 \xff\xfe chunked Upgrade'.split(),
    *(b'', b'9' * 400, b'9' * 5000, b'timeout=' + b'9' * 5000),
    *(b'h' * 9_000, b'h' * 70_000),
)
EXTREME_TARGETS = (
    *b'* a:1 //[ http://a/ /\xc3\xa9'.split(),
    b'/' + b't' * 70_000,
)
EXTREME_METHODS = b'CONNECT PRI M-SEARCH get'.split()
EXTREME_STATUSES = (*b'000 099 101 204 304 1000 x'.split(), b'')


@strategies.composite
def bodies(draw) -> bytes:
    """Generate the header line that frames a body, and the encoded body."""
    parts = draw(strategies.lists(strategies.binary(min_size=1, max_size=50)))
    if draw(strategies.booleans()):
        content = b''.join(parts)
        return b'Content-Length: %d\r\n\r\n%b' % (len(content), content)
    chunks = [b'%x;e=1\r\n%b\r\n' % (len(part), part) for part in parts]
    trailers = draw(strategies.sampled_from((b'', b'T: a\r\n')))
    head = b'Transfer-Encoding: chunked\r\n\r\n'
    return b''.join((head, *chunks, b'0\r\n', trailers, b'\r\n'))


def build(first_lines, lines) -> strategies.SearchStrategy[bytes]:
    """Build valid messages from first lines and header lines."""
    lines = strategies.lists(strategies.sampled_from(lines), max_size=4)
    return strategies.tuples(first_lines, lines, bodies()).map(
        lambda parts: b'\r\n'.join((parts[0], *parts[1], parts[2]))
    )


def build_request_line(method: bytes, target: bytes) -> bytes:
    """Build the first line of a request, and its Host header."""
    return b'%b %b HTTP/1.1\r\nHost: a' % (method, target)


def build_status_line(status: bytes) -> bytes:
    """Build the first line of a response to the request of the test."""
    return b'HTTP/1.1 %b X\r\nRequest-Id: r1' % status


def build_extremes(first_lines: list[bytes], plain: bytes) -> list[bytes]:
    """Build messages with extreme first lines, headers and bodies."""
    heads = first_lines + [
        b'%b\r\n%b: %b' % (plain, name, value)
        for name in EXTREME_NAMES
        for value in EXTREME_VALUES
    ]
    chunked = plain + b'\r\nTransfer-Encoding: chunked\r\n\r\n'
    return [
        head + b'\r\n' + framing + b'\r\nab'
        for head in heads
        for framing in (b'', b'Content-Length: 2\r\n')
    ] + [
        chunked + b'2328\r\n' + b'a' * 0x2328 + b'\r\n0\r\n\r\n',
        chunked + b'0\r\na: ' + b'a' * 70_000 + b'\r\n\r\n',
        chunked + b'f' * 5000 + b'\r\n',
    ]


def build_extreme_requests() -> list[bytes]:
    """Build requests with extreme values."""
    lines = [build_request_line(method, b'/') for method in EXTREME_METHODS]
    lines += [
        build_request_line(method, target)
        for method in (b'GET', b'CONNECT')
        for target in EXTREME_TARGETS
    ]
    return build_extremes(lines, build_request_line(b'POST', b'/'))


def build_extreme_responses() -> list[bytes]:
    """Build responses with extreme values; 101 changes the protocol."""
    upgrade = b'101 X\r\nConnection: upgrade\r\nUpgrade: x\r\nX:'
    lines = list(map(build_status_line, (*EXTREME_STATUSES, upgrade)))
    return build_extremes(lines, build_status_line(b'200'))


requests = build(
    strategies.builds(
        build_request_line,
        strategies.sampled_from(METHODS),
        strategies.sampled_from(TARGETS),
    ),
    REQUEST_LINES,
)
responses = build(
    strategies.sampled_from(STATUSES).map(build_status_line), RESPONSE_LINES
)
