"""Server side of one HTTP connection of a client."""

import asyncio
import collections
import collections.abc
import http
import typing

from absl import logging
import httptools

from oleanderknot import model
from oleanderknot.tasks import client_parser
from oleanderknot.tasks import invalid_request

if typing.TYPE_CHECKING:
    from oleanderknot.tasks import client_listener

# Maximum number of pipelined requests that wait for earlier ones; at this
# number the connection stops reading from the socket.
MAX_PIPELINED = 4

# Time for which the rest of a rejected body is read and discarded.
LINGER_S = 5.0

# Delay after which a client may send a body again for which there was no
# memory.
RETRY_AFTER_S = 1

REASON_PHRASES = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


class ClientConnection(asyncio.Protocol):
    """Owns one client socket and answers its requests in order.

    Attributes:
        listener: The listener that accepted the connection.
        parser: Parses requests from the received bytes.
        held_bytes: Size of the request bodies that the connection holds.
        pending_requests: Complete requests that are not answered yet, each
            with whether the client keeps the connection after it.
        task: Task that answers the requests; None while there are none.
        timeout_started_at: Loop time in seconds at which the connection
            became idle or the client began to send a request.
        reading: Whether a part of a request has been received.
        paused: Whether reading from the socket is paused.
        rejected: Whether an invalid request was received, after which nothing
            more is read.
        closing: Whether the connection closes after the pending writes.
    """

    def __init__(self, *, listener: 'client_listener.ClientListener') -> None:
        self.listener = listener
        self.loop = listener.loop
        self.parser = client_parser.ClientParser(
            limits=listener.limits,
            on_request=self.queue_request,
            reserve=self.reserve,
        )
        self.held_bytes = 0
        self.pending_requests: collections.deque[
            tuple[model.HttpRequest, bool]
        ] = collections.deque()
        self.task: asyncio.Task | None = None
        self.timeout_started_at = self.loop.time()
        self.reading = False
        self.transport: typing.Any = None
        self.paused = False
        self.rejected = False
        self.closing = False
        self.writable: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; called by the event loop."""
        self.transport = transport
        self.listener.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the work for a client that has disconnected."""
        self.listener.connections.discard(self)
        self.closing = True
        self.pending_requests.clear()
        self.parser.close()
        self.release(self.held_bytes)
        if self.writable is not None and not self.writable.done():
            self.writable.cancel()
        if self.task is not None:
            self.task.cancel()

    def reserve(self, size: int) -> bool:
        """Reserve memory for a request body; called by the parser."""
        if not self.listener.body_budget.reserve(size):
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release the memory of a request body."""
        size = min(size, self.held_bytes)
        self.held_bytes -= size
        self.listener.body_budget.release(size)

    def eof_received(self) -> bool:
        """Close the connection when the client closes its sending side."""
        return False

    def pause_writing(self) -> None:
        """Handle a full write buffer; called by the event loop."""
        self.writable = self.loop.create_future()

    def resume_writing(self) -> None:
        """Handle a drained write buffer; called by the event loop."""
        if self.writable is not None and not self.writable.done():
            self.writable.set_result(None)
        self.writable = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; called by the event loop."""
        if self.closing or self.rejected:
            return
        try:
            self.parser.feed(data)
        except invalid_request.InvalidRequestError as fault:
            self.refuse(fault.status, str(fault))
        except httptools.HttpParserError as error:
            self.refuse(400, 'malformed request: %s' % error)
        else:
            if self.parser.wants_continue:
                self.parser.wants_continue = False
                self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            if self.parser.started and not self.reading:
                self.reading = True
                self.timeout_started_at = self.loop.time()

    def queue_request(
        self, request: model.HttpRequest, keep_alive: bool
    ) -> None:
        """Queue a complete request; called by the parser."""
        request.received_at = self.loop.time()
        self.reading = False
        self.pending_requests.append((request, keep_alive))
        if self.task is None:
            # Counted here, since a stop may look before the task begins. The
            # task may also be cancelled before that.
            self.listener.count_busy()
            self.task = self.loop.create_task(self.answer())
            self.task.add_done_callback(
                lambda task: self.listener.count_idle()
            )
        elif len(self.pending_requests) >= MAX_PIPELINED and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    async def answer(self) -> None:
        """Answer the queued requests one after the other."""
        try:
            while self.pending_requests and not self.closing:
                request, keep_alive = self.pending_requests.popleft()
                response = await self.handle(request)
                # A request that was read whole must not be dropped with the
                # connection, so those that wait are answered first.
                keep_alive = keep_alive and (
                    bool(self.pending_requests)
                    or not (response.close or self.listener.closing)
                )
                self.write(request, response, keep_alive)
                self.release(len(request.content))
                if self.writable is not None:
                    await self.writable
                if not keep_alive:
                    self.close_transport()
        finally:
            self.task = None
        if not self.closing and not self.rejected:
            if self.paused:
                self.paused = False
                self.transport.resume_reading()
            self.timeout_started_at = self.loop.time()

    async def handle(self, request: model.HttpRequest) -> model.HttpResponse:
        """Return the response to one request."""
        try:
            return await self.listener.handle(request)
        except Exception:
            logging.exception(
                'request handler failed for %s', request.target[:200]
            )
            # Without a response the client would wait until its deadline.
            return model.HttpResponse(status=502, close=True)

    def write(
        self,
        request: model.HttpRequest,
        response: model.HttpResponse,
        keep_alive: bool,
    ) -> None:
        """Write a complete response with one call of the transport."""
        status = response.status
        parts = [
            b'HTTP/1.1 %d %b\r\n'
            % (status, REASON_PHRASES.get(status, b'Unknown'))
        ]
        parts.extend(b'%b: %b\r\n' % header for header in response.headers)
        if status >= 200 and status not in (204, 304):
            parts.append(b'Content-Length: %d\r\n' % len(response.content))
        parts.append(b'\r\n' if keep_alive else b'Connection: close\r\n\r\n')
        if request.method != 'HEAD':
            parts.append(response.content)
        self.transport.write(b''.join(parts))

    def refuse(self, status: int, detail: str) -> None:
        """Answer an invalid request with an error status and close."""
        self.listener.record_invalid_request(status, detail)
        if self.task is None:
            self.reject(status)
            return
        # The complete requests before it are answered first.
        self.rejected = True
        if not self.paused:
            self.transport.pause_reading()
        self.task.add_done_callback(lambda task: self.reject(status))

    def reject(self, status: int) -> None:
        """Write an error response and close the connection."""
        if self.closing:
            return
        retry_after = b''
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after = b'Retry-After: %d\r\n' % RETRY_AFTER_S
        self.transport.write(
            b'HTTP/1.1 %d %b\r\n%bContent-Length: 0\r\n'
            b'Connection: close\r\n\r\n'
            % (status, REASON_PHRASES[status], retry_after)
        )
        if not self.parser.head_complete:
            self.close_transport()
            return
        # Closing at once would reset the connection, and the client might
        # lose the response, while it still sends the body.
        self.closing = True
        self.release(self.held_bytes)
        self.parser.close()
        if self.paused:
            self.transport.resume_reading()
        self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)

    def close_transport(self) -> None:
        """Close the connection after the pending writes."""
        self.closing = True
        self.transport.close()

    def check_timeouts(self, now: float, limits: model.ClientLimits) -> None:
        """Enforce the idle timeout and the timeout of the request head.

        Args:
            now: Loop time in seconds.
            limits: Limits in force.
        """
        if self.task is not None or self.closing:
            return
        elapsed = now - self.timeout_started_at
        if not self.parser.started:
            if elapsed >= limits.idle_timeout_s:
                self.close_transport()
        elif (
            not self.parser.head_complete
            and elapsed >= limits.header_timeout_s
        ):
            self.refuse(408, 'the request head was not received in time')
