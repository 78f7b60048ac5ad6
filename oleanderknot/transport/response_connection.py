"""Client side of one HTTP connection."""

import asyncio
import collections.abc
import typing

import httptools

from oleanderknot import model
from oleanderknot.transport import body_buffer
from oleanderknot.transport import connection_cut
from oleanderknot.transport import raw_answer
from oleanderknot.transport import receive_budget

# Statuses of responses that never have a body (RFC 9110, section 6.4.1).
BODILESS_STATUSES = (204, 304)

# Largest number of bytes of one response outside its body: status line,
# headers, chunk sizes and trailers. A faulty server may send these without
# end, and the parser keeps them until they are complete.
MAX_OVERHEAD_BYTES = 64 * 1024

# Further overhead for each byte of the body. A chunk of one byte takes five
# more for its size and line ends.
MAX_OVERHEAD_PER_BODY_BYTE = 5

# Largest number of responses to other requests, or with an interim status,
# that precede the expected one.
MAX_UNEXPECTED_RESPONSES = 16

# Number of requests after which a connection is not reused, as it keeps the
# ids of all of them.
MAX_REQUESTS = 500

# Statuses that HTTP defines (RFC 9110, section 15). A faulty server may send
# another number, which clients and other nodes would not accept.
MIN_STATUS = 100
MAX_STATUS = 599

DecodeFunction = collections.abc.Callable[
    [model.Headers], model.ResponseMetadata
]


class ResponseConnection(asyncio.Protocol):
    """Owns one socket and carries one request at a time.

    A connection that receives data without a pending request, or after the
    answer, is not reused, since the data belongs to no request.

    Attributes:
        decode_headers: Decodes the headers of an answer.
        budget: Counts the bytes of the answer in progress.
        sent_ids: Ids of the requests sent so far. A server may send an
            earlier answer again, so an id must not be sent twice.
        overhead_bytes: Bytes received outside bodies since the answer in
            progress began.
        header_bytes: Size of the headers and trailers of the answer in
            progress.
        body_size: Size of the body that the head announces.
        body_bytes: Size of the body in progress.
        counted: Whether the budget counts the body in progress.
        unexpected: Number of responses that preceded the expected one.
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

    def __init__(
        self,
        *,
        decode_headers: DecodeFunction,
        budget: receive_budget.ReceiveBudget,
    ) -> None:
        self.decode_headers = decode_headers
        self.budget = budget
        self.sent_ids: set[str] = set()
        self.overhead_bytes = 0
        self.body_bytes = 0
        self.counted = False
        self.unexpected = 0
        self.parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
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
        self,
        data: collections.abc.Sequence[bytes],
        request_id: str,
        *,
        head_only: bool = False,
    ) -> asyncio.Future[raw_answer.RawAnswer]:
        """Send a request.

        Args:
            data: Head, and body if there is one.
            request_id: Id that the answer must carry.
            head_only: Whether the answer has no body.

        Returns:
            A future of the complete answer. It raises
            ``ConnectionCutError`` if the connection ends first.
        """
        self.waiter = self.loop.create_future()
        self.request_id = request_id
        self.unexpected = 0
        if request_id:
            self.sent_ids.add(request_id)
            if len(self.sent_ids) >= MAX_REQUESTS:
                self.reusable = False
        self.head_only = head_only
        self.transport.writelines(data)
        return self.waiter

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; called by the event loop."""
        if self.waiter is None:
            self.abort()
            return
        self.overhead_bytes += len(data)
        try:
            self.parser.feed_data(data)
        # The upgrade after status 101 is no subclass of the other error.
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            # The parser wraps what its callbacks raise.
            cause = error.__context__
            if not isinstance(cause, connection_cut.ConnectionCutError):
                cause = 'the server sent bytes that are no answer: %s' % error
            self.fail(str(cause))
            self.abort()
            return
        if self.overhead_bytes > (
            MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * self.body_bytes
        ):
            self.fail('the server sent a head or trailers without end')
            self.abort()
        elif self.body_bytes and self.waiter is not None:
            self.counted = True
            self.budget.hold(self.abort_oversized, self.body_bytes)

    def on_message_begin(self) -> None:
        """Start an answer; called by the parser.

        Raises:
            ConnectionCutError: The connection was given up. The rest of a
                read may hold thousands of answers; the error ends its parse.
        """
        if self.closed:
            raise connection_cut.ConnectionCutError('the connection is closed')
        self.drop_content()
        self.metadata: model.ResponseMetadata | None = None
        self.framed = False
        self.header_bytes = 0
        self.body_size = 0
        self.body_bytes = 0
        if self.transport is not None and self.waiter is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by the parser.

        Raises:
            ConnectionCutError: The head or the trailers are too large. One
                read may hold all of them, so the bytes of the reads do not
                tell.
        """
        self.header_bytes += len(name) + len(value)
        if self.header_bytes > MAX_OVERHEAD_BYTES:
            raise connection_cut.ConnectionCutError(
                'the head or the trailers are too large'
            )
        if self.metadata is None and not self.closed:
            self.headers.append((name, value))
            lower = name.lower()
            if lower == b'content-length':
                self.framed = True
                if value.isdigit():
                    self.body_size = int(value)
            elif lower == b'transfer-encoding':
                self.framed = True

    def on_headers_complete(self) -> None:
        """Decode the head of an answer; called by the parser.

        Raises:
            ConnectionCutError: The status is invalid, or the body is too
                large to be received.
        """
        status = self.parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise connection_cut.ConnectionCutError(
                'the answer has the invalid status %03d' % status
            )
        if (
            self.body_size > self.budget.max_response_bytes
            and not self.head_only
        ):
            raise connection_cut.ConnectionCutError(
                'the body of the answer is too large'
            )
        self.metadata = self.decode_headers(self.headers)
        if self.head_only:
            # The parser would wait for a body that is never sent.
            self.reusable = False
            self.finish()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; called by the parser.

        Raises:
            ConnectionCutError: The body is too large. The budget sees it
                only after a read, when it may be complete.
        """
        self.body_bytes += len(data)
        self.overhead_bytes -= len(data)
        if self.body_bytes > self.budget.max_response_bytes:
            raise connection_cut.ConnectionCutError(
                'the body of the answer is too large'
            )
        if not self.closed:
            self.body.append(data)

    def on_message_complete(self) -> None:
        """Handle the end of an answer; called by the parser."""
        if not self.parser.should_keep_alive():
            self.reusable = False
        self.finish()

    def finish(self) -> None:
        """Deliver a complete answer if it belongs to the current request."""
        status = self.parser.get_status_code()
        waiter = self.waiter
        self.overhead_bytes = 0
        if waiter is None or waiter.done():
            self.stop_counting()
            return
        if status < 200 or self.metadata.request_id != self.request_id:
            self.stop_counting()
            self.handle_unexpected(status)
            return
        if self.counted:
            self.budget.complete(self.abort_oversized)
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
                content=self.body.get_value(),
            )
        )
        self.drop_content()

    def drop_content(self) -> None:
        """Drop what was received, which an idle connection would keep."""
        self.headers: model.Headers = []
        self.body = body_buffer.BodyBuffer()

    def handle_unexpected(self, status: int) -> None:
        """Skip an interim response, or a late one to an earlier request."""
        if status >= 200:
            self.reusable = False
        self.unexpected += 1
        if self.unexpected > MAX_UNEXPECTED_RESPONSES:
            self.fail('the server sent only responses to other requests')
            self.abort()

    def stop_counting(self) -> None:
        """Remove the answer from the budget.

        Called by the owner of the connection when it takes over a complete
        answer, and here when there will be none. In between, answers that
        are complete would be counted nowhere.
        """
        if self.counted:
            self.counted = False
            self.budget.remove(self.abort_oversized)

    def abort_oversized(self) -> None:
        """Abort an answer whose body is too large; called by the budget."""
        self.fail('the body of the answer is too large')
        self.abort()

    def eof_received(self) -> bool:
        """Handle the end of what the server sends; called by the event loop.

        While the request is still being sent, a body without framing headers
        may have been cut. A close would first wait for the rest to be sent.
        """
        if self.transport.get_write_buffer_size() and self.waiter is not None:
            self.fail('the server ended the connection before the request')
            self.abort()
        return False

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
        self.fail('the server ended the connection: %s' % (error or 'end'))
        self.drop_content()
        # The parser refers to this object. Without the cycle both are freed
        # at once, and not by a collection that may come much later.
        self.parser = None

    def fail(self, detail: str) -> None:
        """Fail the current request."""
        self.stop_counting()
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(connection_cut.ConnectionCutError(detail))

    def is_usable(self, now: float, max_idle_s: float) -> bool:
        """Return whether another request with a new id may be sent.

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
        self.closed = True
        self.stop_counting()
        self.drop_content()
        if self.transport is not None:
            self.transport.abort()
