"""Parses the HTTP requests of one client connection."""

import collections.abc

import httptools

from oleanderknot import model
from oleanderknot import transport
from oleanderknot.tasks import invalid_request

# Memory for a body of unknown length is reserved in steps of this size.
RESERVE_STEP_BYTES = 4096

# Approximate size of the objects of a header, beside its bytes.
HEADER_BYTES = 160

# Bytes of a head that head_bytes does not include: the method, the version and
# the empty line take 25 with the longest method.
UNCOUNTED_HEAD_BYTES = 32

RequestCallback = collections.abc.Callable[[model.HttpRequest, bool], None]


class ClientParser:
    """Parses requests; the ``on_`` methods are callbacks of httptools.

    Attributes:
        limits: Returns the limits in force.
        on_request: Called with each complete request and whether the client
            keeps the connection.
        reserve: Called with the size of a body, or of a part of it, before it
            is held; returns whether there is memory for it.
        started: Whether a request has begun and is not complete.
        head_complete: Whether the head of the request has been parsed.
        wants_continue: Whether the client waits for status 100 before it
            sends the body.
        offers_upgrade: Whether the client offers to change the protocol.
        head_bytes: Size of the target, the header lines and the trailers
            parsed so far.
        pending_bytes: Bytes fed since the last callback, which httptools
            keeps. The end of a piece behind a callback is not included.
        advanced: Whether a callback was called for the current piece.
        reserved_bytes: Memory reserved for the body.
        cost: Number of headers and parts of bodies parsed; reset by the
            owner, who bounds it.
    """

    def __init__(
        self,
        *,
        limits: collections.abc.Callable[[], model.ClientLimits],
        on_request: RequestCallback,
        reserve: collections.abc.Callable[[int], bool],
    ) -> None:
        self.limits = limits
        self.reserve = reserve
        self.on_request = on_request
        self.parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self.wants_continue = False
        self.advanced = False
        self.cost = 0
        self.reset()

    def reset(self) -> None:
        """Reset the state for the next request."""
        self.started = False
        self.head_complete = False
        self.offers_upgrade = False
        self.head_bytes = 0
        self.pending_bytes = 0
        self.body_bytes = 0
        self.reserved_bytes = 0
        self.target = b''
        self.headers: model.Headers = []
        self.body = transport.BodyBuffer()

    def close(self) -> None:
        """Drop the request in progress, the parser and the owner.

        They refer to this object. Without the cycles the request is freed at
        once, and not by a collection that may come much later.
        """
        self.reset()
        self.parser = None
        self.on_request = ignore_request
        self.reserve = reject_reservation

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            InvalidRequestError: The request exceeds a limit or is unsupported.
            HttpParserError: The bytes are not a valid HTTP request.
        """
        rest = data
        self.advanced = False
        while rest:
            rest = self.parse(rest)
        if self.advanced or not self.started:
            self.pending_bytes = 0
            return
        # An incomplete header or trailer is refused before it is complete,
        # but only if it would be refused then, so that the result does not
        # depend on the size of the pieces.
        self.pending_bytes += len(data)
        self.check_head(
            self.head_bytes + self.pending_bytes - UNCOUNTED_HEAD_BYTES
        )

    def parse(self, data: bytes) -> bytes:
        """Parse bytes up to the end of a request that offers an upgrade.

        Returns:
            The bytes still to be parsed.

        Raises:
            InvalidRequestError: The request exceeds a limit or is unsupported.
            HttpParserError: The bytes are not a valid HTTP request.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            if not self.offers_upgrade:
                raise invalid_request.InvalidRequestError(
                    400, 'protocol upgrades are not supported'
                ) from error
            # The parser leaves out the body of a request that offers another
            # protocol. A server may ignore the offer (RFC 9110, section 7.8).
            head = self.build_head()
            self.parser = httptools.HttpRequestParser(self)
            return head + data[error.args[0] :]
        except httptools.HttpParserCallbackError as error:
            if isinstance(
                error.__context__, invalid_request.InvalidRequestError
            ):
                raise error.__context__ from None
            raise
        return b''

    def measure(self) -> int:
        """Return the approximate size in bytes of the request in progress."""
        if not self.started:
            return 0
        return (
            self.head_bytes
            + self.pending_bytes
            + HEADER_BYTES * len(self.headers)
            + max(self.reserved_bytes, self.body_bytes)
        )

    def build_head(self) -> bytes:
        """Build the head of the request without its offer to upgrade."""
        lines = [
            b'%b %b HTTP/%b'
            % (
                self.parser.get_method(),
                self.target,
                self.parser.get_http_version().encode(),
            )
        ]
        for name, value in self.headers:
            lower = name.lower()
            if lower == b'connection':
                tokens = [token.strip() for token in value.split(b',')]
                value = b', '.join(
                    token for token in tokens if token.lower() != b'upgrade'
                )
            if lower != b'upgrade':
                lines.append(b'%b: %b' % (name, value))
        return b'\r\n'.join(lines) + b'\r\n\r\n'

    def on_message_begin(self) -> None:
        """Handle the start of a request."""
        self.reset()
        self.started = True
        self.advanced = True

    def on_url(self, data: bytes) -> None:
        """Append a part of the request target."""
        self.advanced = True
        self.target += data
        self.head_bytes += len(data)
        self.check_head(self.head_bytes)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self.advanced = True
        self.cost += 1
        # A header line has four more bytes: colon, space, CR and LF.
        self.head_bytes += len(name) + len(value) + 4
        self.check_head(self.head_bytes)
        if self.head_complete:
            return  # Trailers are hop-by-hop and not forwarded.
        self.headers.append((name, value))

    def check_head(self, size: int) -> None:
        """Check the size of a request head against the limit.

        Raises:
            InvalidRequestError: The head exceeds the limit.
        """
        if size > self.limits().max_header_bytes:
            raise invalid_request.InvalidRequestError(
                431, 'the request head exceeds the size limit'
            )

    def on_headers_complete(self) -> None:
        """Validate the complete head of a request.

        Raises:
            InvalidRequestError: The request is not supported.
        """
        self.advanced = True
        self.head_complete = True
        hosts = 0
        body_size = None
        for name, value in self.headers:
            lower = name.lower()
            if lower == b'host':
                hosts += 1
            elif lower == b'content-length':
                body_size = int(value)
                if body_size > self.limits().max_body_bytes:
                    raise invalid_request.InvalidRequestError(
                        413, 'Content-Length exceeds the size limit'
                    )
            elif lower == b'transfer-encoding':
                if value.strip().lower() != b'chunked':
                    raise invalid_request.InvalidRequestError(
                        400, 'transfer coding %r is not supported' % value
                    )
            elif lower == b'expect':
                self.wants_continue = value.lower() == b'100-continue'
        if hosts != 1:
            raise invalid_request.InvalidRequestError(
                400, 'a request must have one Host header, found %d' % hosts
            )
        if not self.target.startswith(b'/'):
            raise invalid_request.InvalidRequestError(
                400, 'the target must be a path'
            )
        if self.parser.get_method() == b'CONNECT':
            raise invalid_request.InvalidRequestError(
                400, 'the method CONNECT is not supported'
            )
        self.offers_upgrade = self.parser.should_upgrade()
        if body_size and not self.offers_upgrade:
            self.reserve_body(body_size)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body.

        Raises:
            InvalidRequestError: The body exceeds the limit.
        """
        self.advanced = True
        self.cost += 1
        self.body_bytes += len(data)
        if self.body_bytes > self.limits().max_body_bytes:
            raise invalid_request.InvalidRequestError(
                413, 'the request body exceeds the size limit'
            )
        if self.body_bytes > self.reserved_bytes:
            self.reserve_body(max(len(data), RESERVE_STEP_BYTES))
        self.body.append(data)

    def reserve_body(self, size: int) -> None:
        """Reserve memory for a body or a part of it.

        Raises:
            InvalidRequestError: There is not enough memory.
        """
        if not self.reserve(size):
            raise invalid_request.InvalidRequestError(
                503, 'the node holds too many request bodies'
            )
        self.reserved_bytes += size

    def on_message_complete(self) -> None:
        """Pass a complete request to ``on_request``."""
        if self.offers_upgrade:
            return
        request = model.HttpRequest(
            method=self.parser.get_method().decode('ascii'),
            target=self.target.decode('latin-1'),
            headers=self.headers,
            content=self.body.get_value(),
            received_at=0.0,
        )
        keep_alive = self.parser.should_keep_alive()
        self.wants_continue = False
        self.reset()
        self.on_request(request, keep_alive)


def ignore_request(request: model.HttpRequest, keep_alive: bool) -> None:
    """Do nothing; for a parser without an owner."""


def reject_reservation(size: int) -> bool:
    """Return False; for a parser without an owner."""
    return False
