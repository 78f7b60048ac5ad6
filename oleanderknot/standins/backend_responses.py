"""Responses of the stand-in for a back end, valid and faulty ones."""

# Bytes sent instead of a valid response, by fault; the connection is closed
# after them.
CLOSING_RESPONSES = {
    'lost': b'',
    'garbage': b'this is no answer\r\n\r\n',
    'short': b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Signature: s\r\n'
    b'Content-Length: 100\r\n\r\nshort',
}

SIGNED_HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Signature: s\r\n'

# Start of a response, and bytes that follow it without end until the
# connection closes, by fault.
ENDLESS_RESPONSES = {
    'endless_bytes': (b'', b'z' * 4096),
    'endless_status': (b'HTTP/1.1 200 ', b'O' * 4096),
    'endless_header': (SIGNED_HEAD + b'X-Long: ', b'x' * 4096),
    'endless_headers': (SIGNED_HEAD, b'X-Many: 1\r\n' * 400),
    'endless_chunk_size': (
        SIGNED_HEAD + b'Transfer-Encoding: chunked\r\n\r\n5;x=',
        b'y' * 4096,
    ),
    'endless_chunks': (
        SIGNED_HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1000\r\n' + b'b' * 4096 + b'\r\n',
    ),
    'endless_trailers': (
        SIGNED_HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-Many: 1\r\n' * 400,
    ),
    'endless_length': (
        SIGNED_HEAD + b'Content-Length: 99999999999\r\n\r\n',
        b'b' * 4096,
    ),
    'endless_unframed': (SIGNED_HEAD + b'\r\n', b'b' * 4096),
    'endless_interim': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 100),
    'endless_foreign': (
        b'',
        b'HTTP/1.1 200 OK\r\nRequest-Id: another\r\n'
        b'Content-Length: 0\r\n\r\n' * 50,
    ),
}

# Part of an answer that ends with its connection before the request body has
# been read, by fault.
EARLY_ENDS = {
    'early': b'\r\npart of a body',
    'early_close': b'Connection: close\r\n\r\npart of a body',
    'early_chunked': b'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n',
    'early_length': b'Content-Length: 100\r\n\r\npart of a body',
    'early_half': b'\r\npart of a body',
}


def build_refusal(request_id: str) -> bytes:
    """Build the response to a request that is shed."""
    return (
        b'HTTP/1.1 503 Full\r\nRequest-Id: %b\r\nNot-Executed: 1\r\n'
        b'Content-Length: 0\r\n\r\n' % request_id.encode()
    )


def build_status(upstream: str, leaving: bool, ill: bool) -> bytes:
    """Build the response to a status check."""
    return b'HTTP/1.1 %b\r\nInstance-Id: %b\r\n%bContent-Length: 0\r\n\r\n' % (
        b'503 Unavailable' if leaving or ill else b'200 OK',
        upstream.encode(),
        b'Connection: close\r\n' if leaving else b'',
    )


def build_response(
    status: int, request_id: str, body: bytes, notice: bytes = b''
) -> bytes:
    """Build a response with a signature header and a notice's headers."""
    return (
        b'HTTP/1.1 %d Any\r\nRequest-Id: %b\r\nResponse-Signature: s-%b\r\n'
        b'%bContent-Length: %d\r\n\r\n'
        % (status, request_id.encode(), request_id.encode(), notice, len(body))
        + body
    )


def build_framed(request_id: str, body: bytes, framing: str) -> bytes:
    """Build a response whose body has the given framing."""
    response = build_response(200, request_id, body)
    if framing == 'none':
        return response.replace(b'Content-Length', b'X-Length')
    if framing == 'chunked':
        head, _, _ = response.rpartition(b'Content-Length')
        return (
            head
            + b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n'
            % (
                len(body),
                body,
            )
        )
    return response
