"""Reads HTTP requests from the bytes of one connection."""

import collections.abc

import httptools

from oleanderknot import model
from oleanderknot.tasks import request_fault

RequestHook = collections.abc.Callable[[model.HttpRequest, bool], None]


class ClientParser:
    """Collects requests; its methods named ``on_`` are parser callbacks.

    Attributes:
        limits: Returns the limits in force.
        on_request: Called with each whole request and whether the client
            keeps the connection.
        started: Whether a part of a request has been read.
        head_complete: Whether its head has been read.
        wants_continue: Whether the client waits before it sends the body.
        head_bytes: Bytes of the head so far.
    """

    def __init__(
        self,
        *,
        limits: collections.abc.Callable[[], model.ClientLimits],
        on_request: RequestHook,
    ) -> None:
        self.limits = limits
        self.on_request = on_request
        self.parser = httptools.HttpRequestParser(self)
        self.wants_continue = False
        self.reset()

    def reset(self) -> None:
        """Prepare for the next request."""
        self.started = False
        self.head_complete = False
        self.head_bytes = 0
        self.pending_bytes = 0
        self.body_bytes = 0
        self.target = b''
        self.headers: model.Headers = []
        self.parts: list[bytes] = []

    def feed(self, data: bytes) -> None:
        """Take bytes.

        Raises:
            RequestFault: The request is over a limit or not supported.
            HttpParserError: The bytes are no request.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise request_fault.RequestFault(
                400, 'protocol upgrades are not supported'
            ) from error
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, request_fault.RequestFault):
                raise error.__context__ from None
            raise
        if self.started and not self.head_complete:
            # A target or header that is not whole yet is not in head_bytes.
            self.pending_bytes += len(data)
            self.check_head(self.pending_bytes)

    def on_message_begin(self) -> None:
        """Start a request."""
        self.reset()
        self.started = True

    def on_url(self, data: bytes) -> None:
        """Take a part of the target."""
        self.target += data
        self.check_head(self.head_bytes + len(self.target))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        # Four bytes separate and end a header line.
        self.head_bytes += len(name) + len(value) + 4
        self.check_head(self.head_bytes)
        if self.head_complete:
            return  # A trailer concerns one connection only.
        self.headers.append((name, value))

    def check_head(self, size: int) -> None:
        """Refuse a head that is too long.

        Raises:
            RequestFault: It is over the limit.
        """
        if size > self.limits().max_header_bytes:
            raise request_fault.RequestFault(431, 'the head is too long')

    def on_headers_complete(self) -> None:
        """Check the head of a request.

        Raises:
            RequestFault: The request is not supported.
        """
        self.head_complete = True
        hosts = 0
        for name, value in self.headers:
            lower = name.lower()
            if lower == b'host':
                hosts += 1
            elif lower == b'content-length':
                if int(value) > self.limits().max_body_bytes:
                    raise request_fault.RequestFault(
                        413, 'the body is too long'
                    )
            elif lower == b'transfer-encoding':
                if value.strip().lower() != b'chunked':
                    raise request_fault.RequestFault(
                        400, 'transfer coding %r is not supported' % value
                    )
            elif lower == b'expect':
                self.wants_continue = value.lower() == b'100-continue'
        if hosts != 1:
            raise request_fault.RequestFault(
                400, 'a request must have one Host header, found %d' % hosts
            )
        if not self.target.startswith(b'/'):
            raise request_fault.RequestFault(400, 'the target must be a path')

    def on_body(self, data: bytes) -> None:
        """Take a part of the body.

        Raises:
            RequestFault: The body is over the limit.
        """
        self.body_bytes += len(data)
        if self.body_bytes > self.limits().max_body_bytes:
            raise request_fault.RequestFault(413, 'the body is too long')
        self.parts.append(data)

    def on_message_complete(self) -> None:
        """Hand on a whole request."""
        request = model.HttpRequest(
            method=self.parser.get_method().decode('ascii'),
            target=self.target.decode('latin-1'),
            headers=self.headers,
            content=self.parts[0]
            if len(self.parts) == 1
            else b''.join(self.parts),
            received_at=0.0,
        )
        keep_alive = self.parser.should_keep_alive()
        self.wants_continue = False
        self.reset()
        self.on_request(request, keep_alive)
