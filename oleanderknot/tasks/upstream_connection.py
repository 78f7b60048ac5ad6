"""One HTTP connection to the own upstream."""

import asyncio
import collections.abc
import typing

import httptools

from oleanderknot import model
from oleanderknot.tasks import raw_answer
from oleanderknot.tasks import upstream_cut

# Statuses whose answers never have a body (RFC 9110, 6.4.1).
BODILESS = (204, 304)

ReadFunction = collections.abc.Callable[
    [model.Headers], model.ResponseMetadata
]


class UpstreamConnection(asyncio.Protocol):
    """Owns one socket and carries one request at a time.

    Bytes that arrive without a request, or after its answer, belong to no
    request; the connection is then not used again.

    Attributes:
        read: Decodes the headers of an answer.
        waiter: Gets the answer to the present request; None while idle.
        request_id: Id of the present request.
        head_only: Whether the answer to the present request has no body.
        reusable: Whether another request may be sent.
        closed: Whether the connection has ended.
        idle_since: Loop time in seconds of the last answer.
        used: Whether it has carried a request before the present one.
    """

    def __init__(self, *, read: ReadFunction) -> None:
        self.read = read
        self.parser = httptools.HttpResponseParser(self)
        self.waiter: asyncio.Future[raw_answer.RawAnswer] | None = None
        self.loop = asyncio.get_running_loop()
        self.transport: typing.Any = None
        self.request_id = ''
        self.head_only = False
        self.reusable = True
        self.closed = False
        self.idle_since = self.loop.time()
        self.idle_s: float | None = None
        self.used = False
        self.on_message_begin()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket; called by the event loop."""
        self.transport = transport

    def request(
        self, data: bytes, request_id: str, *, head_only: bool = False
    ) -> asyncio.Future[raw_answer.RawAnswer]:
        """Send a request.

        Args:
            data: Head and body.
            request_id: Id that the answer must name.
            head_only: Whether the answer has no body.

        Returns:
            The whole answer; ``UpstreamCut`` when the connection ended
            before it was whole.
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
        self.facts: model.ResponseMetadata | None = None
        self.framed = False
        if self.transport is not None and self.waiter is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; called by the parser."""
        if self.facts is None:
            self.headers.append((name, value))
            if name.lower() in (b'content-length', b'transfer-encoding'):
                self.framed = True

    def on_headers_complete(self) -> None:
        """Decode the head of an answer; called by the parser."""
        self.facts = self.read(self.headers)
        if self.head_only:
            # The parser would wait for a body that never comes.
            self.reusable = False
            self.finish()

    def on_body(self, data: bytes) -> None:
        """Take a part of the body; called by the parser."""
        self.parts.append(data)

    def on_message_complete(self) -> None:
        """Take the end of an answer; called by the parser."""
        if not self.parser.should_keep_alive():
            self.reusable = False
        self.finish()

    def finish(self) -> None:
        """Give a whole answer to the request that it names."""
        status = self.parser.get_status_code()
        waiter = self.waiter
        if status < 200 or waiter is None or waiter.done():
            return
        if self.facts.request_id != self.request_id:
            # A late answer to an earlier request; the own one follows.
            self.reusable = False
            return
        self.idle_since = self.loop.time()
        self.idle_s = self.facts.idle_timeout_s
        self.waiter = None
        self.used = True
        if self.transport.get_write_buffer_size():
            # The rest of a body that the upstream answered early.
            self.reusable = False
        waiter.set_result(
            raw_answer.RawAnswer(
                status=status,
                metadata=self.facts,
                content=self.parts[0]
                if len(self.parts) == 1
                else b''.join(self.parts),
            )
        )

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the present request; called by the event loop."""
        self.closed = True
        self.reusable = False
        if (
            error is None
            and self.facts is not None
            and not self.framed
            and self.parser.get_status_code() not in BODILESS
        ):
            # The end of the connection is the end of such a body.
            self.finish()
        self.fail('the upstream ended the connection: %s' % (error or 'end'))

    def fail(self, detail: str) -> None:
        """Fail the present request."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(upstream_cut.UpstreamCut(detail))

    def is_usable(self, now: float, longest_idle_s: float) -> bool:
        """Return whether another request may be sent.

        Args:
            now: Loop time in seconds.
            longest_idle_s: Seconds for which it may have been idle.
        """
        if not self.reusable or self.closed or self.transport.is_closing():
            return False
        if self.idle_s is not None:
            longest_idle_s = min(longest_idle_s, self.idle_s / 2)
        return now - self.idle_since <= longest_idle_s

    def abort(self) -> None:
        """End the connection at once."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()
