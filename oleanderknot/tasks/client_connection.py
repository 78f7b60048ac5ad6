"""One HTTP connection of a client."""

import asyncio
import collections
import collections.abc
import http
import typing

from absl import logging
import httptools

from oleanderknot import model
from oleanderknot.tasks import client_parser
from oleanderknot.tasks import request_fault

if typing.TYPE_CHECKING:
    from oleanderknot.tasks import client_listener

# Requests that a client may send before earlier ones are answered; more are
# left in the socket.
MAX_PIPELINED = 4

REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


class ClientConnection(asyncio.Protocol):
    """Owns one socket and answers its requests in order.

    Attributes:
        listener: The listener that accepted the connection.
        parser: Reads requests from the bytes.
        waiting: Whole requests, and whether the client reuses the
            connection after each.
        task: Answers the present request; None while there is none.
        timer: Ends a connection that idles or sends its request too slowly.
        paused: Whether reading is paused.
        closing: Whether the connection ends after what is being written.
    """

    def __init__(self, *, listener: 'client_listener.ClientListener') -> None:
        self.listener = listener
        self.loop = listener.loop
        self.parser = client_parser.ClientParser(
            limits=listener.limits, on_request=self.take_request
        )
        self.waiting: collections.deque[tuple[model.HttpRequest, bool]] = (
            collections.deque()
        )
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.transport: typing.Any = None
        self.paused = False
        self.closing = False
        self.writable: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request; called by the event loop."""
        self.transport = transport
        self.listener.connections.add(self)
        self.watch_idle()

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the work for a client that has left."""
        self.listener.connections.discard(self)
        self.closing = True
        self.stop_timer()
        self.waiting.clear()
        if self.writable is not None and not self.writable.done():
            self.writable.cancel()
        if self.task is not None:
            self.task.cancel()

    def eof_received(self) -> bool:
        """Take the end of the client's bytes as its leaving."""
        return False

    def pause_writing(self) -> None:
        """Note that the client reads slowly; called by the event loop."""
        self.writable = self.loop.create_future()

    def resume_writing(self) -> None:
        """Note that the client reads again; called by the event loop."""
        if self.writable is not None and not self.writable.done():
            self.writable.set_result(None)
        self.writable = None

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; called by the event loop."""
        if self.closing:
            return
        try:
            self.parser.feed(data)
        except request_fault.RequestFault as fault:
            self.refuse(fault.status, str(fault))
        except httptools.HttpParserError as error:
            self.refuse(400, 'malformed request: %s' % error)
        else:
            if self.parser.wants_continue:
                self.parser.wants_continue = False
                self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            if self.parser.started and self.task is None:
                self.watch_head()

    def take_request(
        self, request: model.HttpRequest, keep_alive: bool
    ) -> None:
        """Take a whole request; called by the parser."""
        request.received_at = self.loop.time()
        self.waiting.append((request, keep_alive))
        if self.task is None:
            self.stop_timer()
            self.task = self.loop.create_task(self.answer())
        elif len(self.waiting) >= MAX_PIPELINED and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    async def answer(self) -> None:
        """Answer the requests that have arrived, one after the other."""
        self.listener.enter()
        try:
            while self.waiting and not self.closing:
                request, keep_alive = self.waiting.popleft()
                response = await self.handle(request)
                keep_alive = (
                    keep_alive
                    and not response.close
                    and not self.listener.closing
                )
                self.write(request, response, keep_alive)
                if self.writable is not None:
                    await self.writable
                if not keep_alive:
                    self.end()
        finally:
            self.task = None
            self.listener.leave()
        if not self.closing:
            if self.paused:
                self.paused = False
                self.transport.resume_reading()
            self.watch_idle()

    async def handle(self, request: model.HttpRequest) -> model.HttpResponse:
        """Return the answer to one request."""
        try:
            return await self.listener.handle(request)
        except Exception:
            logging.exception('answering %s failed', request.target[:200])
            # Without this answer the client would wait until its deadline.
            return model.HttpResponse(status=502, close=True)

    def write(
        self,
        request: model.HttpRequest,
        response: model.HttpResponse,
        keep_alive: bool,
    ) -> None:
        """Write a response in one piece."""
        status = response.status
        parts = [
            b'HTTP/1.1 %d %b\r\n' % (status, REASONS.get(status, b'Unknown'))
        ]
        parts.extend(b'%b: %b\r\n' % header for header in response.headers)
        if status >= 200 and status not in (204, 304):
            parts.append(b'Content-Length: %d\r\n' % len(response.content))
        parts.append(b'\r\n' if keep_alive else b'Connection: close\r\n\r\n')
        if request.method != 'HEAD':
            parts.append(response.content)
        self.transport.write(b''.join(parts))

    def refuse(self, status: int, detail: str) -> None:
        """Answer bytes that are no acceptable request, and end."""
        self.listener.note_fault(status, detail)
        if self.task is not None:
            # The answer to the earlier request goes first; the connection
            # ends after it.
            self.waiting.clear()
            self.end_after_answer()
            return
        self.transport.write(
            b'HTTP/1.1 %d %b\r\nContent-Length: 0\r\n'
            b'Connection: close\r\n\r\n' % (status, REASONS[status])
        )
        self.end()

    def end_after_answer(self) -> None:
        """Read no more; the present answer is the last one."""
        if not self.paused:
            self.paused = True
            self.transport.pause_reading()
        self.task.add_done_callback(lambda task: self.end())

    def end(self) -> None:
        """Close the connection once all is written."""
        self.closing = True
        self.stop_timer()
        self.transport.close()

    def end_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if self.task is None and not self.parser.started:
            self.end()

    def watch_idle(self) -> None:
        """Wait for the next request, at most for the idle time."""
        self.set_timer(self.listener.limits().idle_timeout_s, self.expire_idle)

    def watch_head(self) -> None:
        """Wait for the rest of a request's head."""
        if self.parser.head_complete or self.parser.watched:
            return
        self.parser.watched = True
        self.set_timer(
            self.listener.limits().header_timeout_s, self.expire_head
        )

    def set_timer(
        self, delay_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Replace the timer."""
        self.stop_timer()
        self.timer = self.loop.call_later(delay_s, action)

    def stop_timer(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def expire_idle(self) -> None:
        """End a connection that has been idle for too long."""
        self.timer = None
        if self.task is None and not self.parser.started:
            self.end()

    def expire_head(self) -> None:
        """Refuse a request whose head takes too long."""
        self.timer = None
        if self.task is None and not self.parser.head_complete:
            self.refuse(408, 'the head of the request took too long')
