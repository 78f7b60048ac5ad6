"""Server side of one HTTP connection of a client."""

import asyncio
import typing

import httptools

from oleanderknot import model
from oleanderknot.tasks import byte_backlog
from oleanderknot.tasks import client_memory
from oleanderknot.tasks import client_parser
from oleanderknot.tasks import connection_reset
from oleanderknot.tasks import invalid_request
from oleanderknot.tasks import parse_queue
from oleanderknot.tasks import pipelined_request
from oleanderknot.tasks import request_pipeline
from oleanderknot.tasks import response_encoding

if typing.TYPE_CHECKING:
    from oleanderknot.tasks import client_listener

# Time for which the rest of a rejected body is read and discarded.
LINGER_S = 5.0

# Bytes that are read while no further request may start. A connection that
# reads nothing does not learn that its client has left.
MAX_READ_AHEAD_BYTES = 64 * 1024


class ClientConnection(asyncio.Protocol):
    """Owns one client socket and answers its requests in order.

    Attributes:
        listener: The listener that accepted the connection.
        parser: Parses requests from the received bytes.
        source: IP address of the client; empty if unknown.
        backlog: Received bytes that are not parsed yet.
        memory: Counts what the connection holds.
        pipeline: Runs the complete requests.
        timeout_started_at: Loop time in seconds at which the connection
            became idle or the client began to send a request.
        reading: Whether a part of a request has been received.
        paused: Whether nothing is read from the socket.
        writable: Whether the client reads its responses.
        last_read: Whether a request was received after which the client
            closes the connection. What follows it counts as unread.
        rejection: Status of the invalid request that was received, after
            which nothing more is read; 0 without one.
        lingers: Whether the client may still send the rejected request.
        close_due: Whether the connection closes after these requests.
        closing: Whether the connection closes after the pending writes.
    """

    def __init__(self, *, listener: 'client_listener.ClientListener') -> None:
        self.listener = listener
        self.loop = listener.loop
        self.memory = client_memory.ClientMemory(
            memory=listener.memory, give_way=self.give_way
        )
        self.parser = client_parser.ClientParser(
            limits=listener.limits,
            on_request=self.queue_request,
            reserve=self.memory.lease.extend,
        )
        self.backlog = byte_backlog.ByteBacklog()
        self.pipeline = request_pipeline.RequestPipeline(
            handle=listener.handle,
            capture_check=listener.capture_check,
            is_writable=lambda: self.writable,
            on_response=self.write,
            on_end=self.handle_end,
            on_idle=self.handle_idle,
        )
        self.timeout_started_at = self.loop.time()
        self.reading = False
        self.transport: typing.Any = None
        self.source = ''
        self.paused = False
        self.writable = True
        self.last_read = False
        self.rejection = 0
        self.lingers = False
        self.close_due = False
        self.closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; called by the event loop."""
        self.transport = transport
        peer = transport.get_extra_info('peername')
        self.source = peer[0] if peer else ''
        self.listener.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the work for a client that has disconnected."""
        self.listener.connections.discard(self)
        self.listener.departures.discard(self)
        self.closing = True
        self.parser.close()
        self.backlog.clear()
        self.pipeline.close()
        self.memory.lease.close()

    def update_memory(self) -> bool:
        """Count what the connection holds; return whether it fits."""
        return self.memory.lease.resize(
            client_memory.CONNECTION_BYTES
            + len(self.backlog)
            + self.parser.measure()
            + self.pipeline.held_bytes
            + self.transport.get_write_buffer_size()
        )

    def eof_received(self) -> bool:
        """Close the connection when the client closes its sending side."""
        return False

    def pause_writing(self) -> None:
        """Handle a full write buffer; called by the event loop."""
        self.writable = False

    def resume_writing(self) -> None:
        """Handle a drained write buffer; called by the event loop."""
        self.writable = True
        self.pipeline.advance()
        self.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; called by the event loop."""
        if self.ignores_input():
            return
        self.memory.received += len(data)
        self.backlog.put(data)
        if self.parse_turn():
            self.pause_reading()
            self.listener.parse_queue.add(self)

    def ignores_input(self) -> bool:
        """Return whether received bytes are discarded."""
        return self.closing or bool(self.rejection) or self.last_read

    def parse_turn(self) -> bool:
        """Parse received bytes for one turn of the event loop.

        Returns:
            Whether there are more bytes to parse now.
        """
        self.parser.cost = 0
        more = False
        while not more and not self.ignores_input():
            if not self.backlog or self.pipeline.is_full():
                break
            self.feed(self.backlog.take())
            more = self.parser.cost > parse_queue.MAX_TURN_COST
        if self.is_read_ahead_full():
            self.pause_reading()
        if not self.update_memory() and not self.ignores_input():
            self.handle_shortage()
        if self.ignores_input():
            self.backlog.clear()
        if not self.backlog:
            self.resume_reading()
        return more and bool(self.backlog) and not self.pipeline.is_full()

    def is_read_ahead_full(self) -> bool:
        """Return whether nothing more is read until a request has ended."""
        return (
            self.pipeline.is_full()
            and len(self.backlog) >= MAX_READ_AHEAD_BYTES
        )

    def feed(self, data: bytes) -> None:
        """Parse a piece of the received bytes."""
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
        if self.last_read:
            return
        request.received_at = self.loop.time()
        request.source = self.source
        # A client whose request is complete is not slow while it runs.
        self.memory.lease.progress = None
        self.reading = False
        self.last_read = not keep_alive
        if not self.pipeline.busy:
            # Counted here, since a stop may look before the task begins, and
            # the task may be cancelled before that.
            self.listener.count_busy()
        self.pipeline.add(
            request, keep_alive, client_memory.measure_request(request)
        )

    def handle_shortage(self) -> None:
        """Give up what is not complete or not started for lack of memory."""
        if self.parser.started:
            self.refuse(503, 'the node has no memory for the request')
        elif self.pipeline.busy:
            self.pipeline.drop_waiting()
            self.last_read = self.close_due = True

    def pause_reading(self) -> None:
        """Pause reading from the socket."""
        if not self.paused:
            self.paused = True
            self.listener.departures.add(self)
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read further requests if there is room for them."""
        if self.closing or self.rejection or self.pipeline.is_full():
            return
        if self.backlog:
            self.pause_reading()
            self.listener.parse_queue.add(self)
        elif self.paused:
            self.paused = False
            self.listener.departures.discard(self)
            self.transport.resume_reading()

    def handle_end(self, entry: pipelined_request.PipelinedRequest) -> None:
        """Count the response to a request; called by the pipeline."""
        if (
            entry.size > client_memory.MAX_LATE_BYTES
            and not self.update_memory()
        ):
            self.listener.count('client.response_dropped')
            self.pipeline.drop_response(entry)

    def write(self, entry: pipelined_request.PipelinedRequest) -> None:
        """Write the response that is due; called by the pipeline."""
        response = entry.response
        self.close_due = self.close_due or response.close
        # A request that was read whole must not be dropped with the
        # connection, so those that wait are answered first.
        keep_alive = entry.keep_alive and (
            bool(self.pipeline.entries)
            or not (self.close_due or self.listener.closing)
        )
        for part in response_encoding.encode_response(
            entry.request, response, keep_alive=keep_alive
        ):
            self.memory.written += len(part)
            self.transport.write(part)
        if not keep_alive:
            self.close_transport()
            self.pipeline.close()
        if entry.size > client_memory.MAX_LATE_BYTES:
            self.update_memory()
        self.resume_reading()

    def handle_idle(self) -> None:
        """Handle the end of all requests; called by the pipeline."""
        self.listener.count_idle()
        self.timeout_started_at = self.loop.time()
        if self.rejection:
            self.reject(self.rejection)

    def refuse(self, status: int, detail: str) -> None:
        """Answer an invalid request with an error status and close."""
        if self.last_read or self.rejection or self.closing:
            return
        self.listener.record_invalid_request(status, detail)
        self.lingers = self.parser.head_complete
        self.parser.close()
        self.backlog.clear()
        if not self.pipeline.busy:
            self.reject(status)
            return
        # The complete requests before it are answered first.
        self.rejection = status
        self.pause_reading()
        self.update_memory()

    def reject(self, status: int) -> None:
        """Write an error response and close the connection."""
        if self.closing:
            return
        self.transport.write(response_encoding.encode_rejection(status))
        if not self.lingers:
            self.close_transport()
            return
        # Closing at once would reset the connection, and the client might
        # lose the response, while it still sends the body.
        self.closing = True
        self.update_memory()
        if self.paused:
            self.transport.resume_reading()
        self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)

    def close_transport(self) -> None:
        """Close the connection after the pending writes."""
        self.closing = True
        self.transport.close()

    def give_way(self) -> None:
        """Release the memory of a slow client; called by the node's memory.

        A request that is not complete has not run and is refused. A response
        that is not read ends with the connection.
        """
        if self.transport.get_write_buffer_size() or not self.parser.started:
            connection_reset.reset(self.transport)
        else:
            self.refuse(503, 'the node needs the memory of a slow client')
