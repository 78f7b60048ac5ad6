"""One HTTP connection to the local upstream."""

import asyncio
import collections.abc
import typing

import httptools

from oleanderknot import model
from oleanderknot.tasks import raw_answer
from oleanderknot.tasks import upstream_cut

# Statuses of responses that never have a body (RFC 9110, section 6.4.1).
BODILESS_STATUSES = (204, 304)

DecodeFunction = collections.abc.Callable[
    [model.Headers], model.ResponseMetadata
]


class UpstreamConnection(asyncio.Protocol):
    """Owns one socket and carries one request at a time.

    A connection that receives data without a pending request, or after the
    answer, is not reused, since the data belongs to no request.

    Attributes:
        decode_headers: Decodes the headers of an answer.
        waiter: Future of the answer to the current request; None while idle.
        request_id: Id of the current request.
        head_only: Whether the answer to the current request has no body.
        reusable: Whether another request may be sent.
        closed: Whether the connection is closed.
        idle_since: Loop time in seconds of the last answer.
        announced_idle_s: Idle timeout in seconds that the upstream announced;
            None if it announced none.
        used: Whether a request has been answered on the connection.
    """

    def __init__(self, *, decode_headers: DecodeFunction) -> None:
        self.decode_headers = decode_headers
        self.parser = httptools.HttpResponseParser(self)
        self.waiter: asyncio.Future[raw_answer.RawAnswer] | None = None
        self.loop = asyncio.get_running_loop()
        self.transport: typing.Any = None
        self.request_id = ''
        self.head_only = False
        self.reusable = True
        self.closed = False
        self.idle_since = self.loop.time()
        self.announced_idle_s: float | None = None
        self.used = False
        self.on_message_begin()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = transport

    def request(
        self, data: bytes, request_id: str, *, head_only: bool = False
    ) -> asyncio.Future[raw_answer.RawAnswer]:
        """Send a request.

        Args:
            data: Head and body.
            request_id: Id that the answer must carry.
            head_only: Whether the answer has no body.

        Returns:
            A future of the complete answer. It raises
            ``UpstreamCutError`` if the connection ends first.
        """
        self.waiter = self.loop.create_future()
        self.request_id = request_id
        self.head_only = head_only
        self.transport.write(data)
        return self.waiter

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; called by the event loop."""
        if self.waiter is None:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail('the upstream sent bytes that are no answer: %s' % error)
            self.abort()

    def on_message_begin(self) -> None:
        """Start an answer; called by the parser."""
        self.headers: model.Headers = []
        self.parts: list[bytes] = []
        self.metadata: model.ResponseMetadata | None = None
        self.framed = False
        if self.transport is not None and self.waiter is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by the parser."""
        if self.metadata is None:
            self.headers.append((name, value))
            if name.lower() in (b'content-length', b'transfer-encoding'):
                self.framed = True

    def on_headers_complete(self) -> None:
        """Decode the head of an answer; called by the parser."""
        self.metadata = self.decode_headers(self.headers)
        if self.head_only:
            # The parser would wait for a body that is never sent.
            self.reusable = False
            self.finish()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; called by the parser."""
        self.parts.append(data)

    def on_message_complete(self) -> None:
        """Handle the end of an answer; called by the parser."""
        if not self.parser.should_keep_alive():
            self.reusable = False
        self.finish()

    def finish(self) -> None:
        """Deliver a complete answer if it belongs to the current request."""
        status = self.parser.get_status_code()
        waiter = self.waiter
        if status < 200 or waiter is None or waiter.done():
            return
        if self.metadata.request_id != self.request_id:
            # A late answer to an earlier request; the expected one follows.
            self.reusable = False
            return
        self.idle_since = self.loop.time()
        self.announced_idle_s = self.metadata.idle_timeout_s
        self.waiter = None
        self.used = True
        if self.transport.get_write_buffer_size():
            # The upstream answered before it received the whole request body;
            # the rest is still to be sent.
            self.reusable = False
        waiter.set_result(
            raw_answer.RawAnswer(
                status=status,
                metadata=self.metadata,
                content=self.parts[0]
                if len(self.parts) == 1
                else b''.join(self.parts),
            )
        )

    def connection_lost(self, error: Exception | None) -> None:
        """Complete or fail the current request; called by the event loop."""
        self.closed = True
        self.reusable = False
        if (
            error is None
            and self.metadata is not None
            and not self.framed
            and self.parser.get_status_code() not in BODILESS_STATUSES
        ):
            # A body without framing headers ends with the connection.
            self.finish()
        self.fail('the upstream ended the connection: %s' % (error or 'end'))

    def fail(self, detail: str) -> None:
        """Fail the current request."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(upstream_cut.UpstreamCutError(detail))

    def is_usable(self, now: float, max_idle_s: float) -> bool:
        """Return whether another request may be sent.

        Args:
            now: Loop time in seconds.
            max_idle_s: Maximum idle time in seconds. Half of the timeout
                that the upstream announced applies if it is shorter.
        """
        if not self.reusable or self.closed or self.transport.is_closing():
            return False
        if self.announced_idle_s is not None:
            max_idle_s = min(max_idle_s, self.announced_idle_s / 2)
        return now - self.idle_since <= max_idle_s

    def abort(self) -> None:
        """Close the connection without sending buffered data."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()
