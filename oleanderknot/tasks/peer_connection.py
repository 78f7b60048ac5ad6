"""Multiplexed connection between two nodes."""

import asyncio
import secrets
import typing

from absl import logging
from expression import Error
from expression import Result

from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import body_sender
from oleanderknot.tasks import graceful_close
from oleanderknot.tasks import handshake
from oleanderknot.tasks import incoming_calls
from oleanderknot.tasks import liveness_monitor
from oleanderknot.tasks import outgoing_calls
from oleanderknot.tasks import peer_handlers


class PeerConnection(asyncio.Protocol):
    """Owns one socket, on which both nodes may open calls.

    Attributes:
        identity: Identity of this node.
        handlers: Functions that handle received messages.
        target: Instance and incarnation that the dialler wants to reach;
            None on the accepting side. An incarnation of 0 accepts any.
        peer: Identity of the peer; None before the handshake.
        ready: Done after the handshake; holds the error if it failed.
        session: Session number of the connection, sent in every frame.
        graceful_close: Closes the connection once both sides have finished.
        last_received_at: Loop time in seconds of the last frame received.
        silent: Whether it was closed because the peer stopped responding.
        write_closed: Whether this node has closed its sending direction.
        closed: Whether the connection is closed.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        handlers: peer_handlers.PeerHandlers,
        target: tuple[str, int] | None,
    ) -> None:
        self.identity = identity
        self.handlers = handlers
        self.target = target
        self.peer: model.NodeIdentity | None = None
        self.loop = asyncio.get_running_loop()
        self.ready: asyncio.Future[None] = self.loop.create_future()
        self.transport: typing.Any = None
        self.codec = wire.Codec()
        self.reader = wire.FrameReader(codec=self.codec)
        self.session = secrets.randbits(63) if target is not None else 0
        self.writable: asyncio.Future[None] | None = None
        self.last_received_at = self.loop.time()
        self.silent = False
        self.write_closed = False
        self.closed = False
        frame_writer = body_sender.FrameWriter(
            send=self.send, wait_writable=self.wait_writable
        )
        # The dialler uses odd call numbers, the accepting side even ones.
        self.outgoing = outgoing_calls.OutgoingCalls(
            frame_writer=frame_writer,
            get_peer_name=self.describe_peer,
            count_event=handlers.count_event,
            first_number=1 if target is not None else 2,
        )
        self.incoming = incoming_calls.IncomingCalls(
            frame_writer=frame_writer, handlers=handlers
        )
        self.liveness = liveness_monitor.LivenessMonitor(
            awaits_response=self.awaits_response,
            send_probe=lambda: self.send(0, ping=wire.Ping(number=0)),
            on_silent=self.close_silent,
            on_overdue=lambda: handlers.on_overdue(self),
            unanswered=handlers.unanswered_probes,
        )
        self.graceful_close = graceful_close.GracefulClose(
            is_idle=self.is_idle,
            send_goodbye=self.announce_closing,
            half_close=self.close_write,
            abort=lambda: self.close('no answer to the goodbye'),
        )
        self.outgoing.on_ended = self.incoming.on_ended = (
            self.graceful_close.close_if_done
        )
        self.outgoing.queries.on_ended = self.graceful_close.close_if_done

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake; called by the event loop."""
        self.transport = transport
        if self.target is not None:
            self.send_hello(*self.target)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; called by the event loop."""
        self.last_received_at = self.loop.time()
        try:
            for frame in self.reader.feed(data):
                if frame.call == 0:
                    self.handlers.control_bytes.received += (
                        self.reader.frame_bytes
                    )
                self.handle_frame(frame)
                if self.closed:
                    return
        except wire.BadFrame as error:
            self.handlers.count_event('peer.bad_frame')
            logging.warning(
                'closing the connection to %s after a bad frame: %s',
                self.describe_peer(),
                error,
            )
            self.close('bad frame')

    def pause_writing(self) -> None:
        """Block body senders while the send buffer is full.

        Called by the event loop.
        """
        self.writable = self.loop.create_future()

    def resume_writing(self) -> None:
        """Unblock body senders; called by the event loop."""
        if self.writable is not None and not self.writable.done():
            self.writable.set_result(None)
        self.writable = None

    def connection_lost(self, error: Exception | None) -> None:
        """Fail all calls; called by the event loop."""
        self.resume_writing()
        self.mark_closed('connection lost: %s' % error if error else 'closed')

    async def wait_writable(self) -> None:
        """Wait while the send buffer is full."""
        if self.writable is not None:
            await asyncio.shield(self.writable)

    def describe_peer(self) -> str:
        """Return a name of the peer for messages."""
        if self.peer is not None:
            return self.peer.instance
        return self.target[0] if self.target else 'unknown peer'

    def send_hello(self, instance: str, incarnation: int) -> None:
        """Send the handshake message to a node."""
        self.send(
            0,
            hello=handshake.build_hello(
                self.identity, self.session, instance, incarnation
            ),
        )

    def handle_hello(self, hello: wire.Hello) -> None:
        """Handle the handshake message of the peer.

        Raises:
            BadFrame: The message is malformed or addresses another node.
        """
        if self.peer is not None:
            raise wire.BadFrame('second hello on a connection')
        self.peer = handshake.check_hello(self.identity, hello)
        if self.target is None:
            self.session = hello.session
            self.send_hello(hello.instance, hello.incarnation)
        if not self.ready.done():
            self.ready.set_result(None)
        self.handlers.on_opened(self)

    def send(self, call: int, **message: typing.Any) -> None:
        """Send one frame; the keyword argument is its message."""
        if self.closed or self.write_closed or self.transport is None:
            return
        ((name, content),) = message.items()
        data = self.codec.encode_message(self.session, call, name, content)
        if call == 0:
            self.handlers.control_bytes.sent += len(data)
        self.transport.write(data)

    def handle_frame(self, frame: wire.Frame) -> None:
        """Dispatch a frame to the handler of its message.

        Raises:
            BadFrame: The frame breaks the protocol.
        """
        if frame.hello is not None:
            self.handle_hello(frame.hello)
            return
        if self.peer is None or frame.session != self.session:
            raise wire.BadFrame('frame before the hello or of another session')
        number = frame.call
        opened_here = number % 2 == self.outgoing.last_number % 2
        calls = self.outgoing if opened_here else self.incoming
        # Credit acknowledges bytes that this node has sent. While bulk data
        # fills a slow path, a pong queues behind it for seconds.
        if opened_here and number or frame.pong or frame.credit:
            self.liveness.note_response()
        if frame.head is not None and opened_here:
            self.outgoing.handle_head(number, frame.head)
        elif frame.open is not None and not opened_here:
            self.incoming.handle_open(number, frame.open)
        elif frame.chunk is not None:
            calls.handle_chunk(number, frame.chunk)
        elif frame.credit is not None:
            calls.handle_credit(number, max(0, frame.credit.size or 0))
        elif frame.failure is not None:
            calls.handle_failure(number, frame.failure)
        elif frame.cancel is not None and not opened_here:
            self.incoming.handle_cancel(number)
        elif frame.gossip is not None:
            self.handlers.handle_gossip(self, frame.gossip)
        elif frame.policy_sync is not None:
            self.handlers.handle_policy_sync(self, frame.policy_sync)
        elif frame.ping is not None:
            self.send(0, pong=wire.Pong(number=frame.ping.number))
        elif frame.key_query is not None and not opened_here:
            self.incoming.handle_key_query(number, frame.key_query)
        elif frame.key_state is not None and opened_here:
            self.outgoing.queries.handle_state(number, frame.key_state)
        elif frame.quota_request is not None:
            self.handlers.handle_quota_request(self, frame.quota_request)
        elif frame.quota_grant is not None:
            self.handlers.handle_quota_grant(self, frame.quota_grant)
        elif frame.goodbye is not None:
            self.graceful_close.handle_goodbye()
        elif frame.pong is None:
            raise wire.BadFrame('frame without a message for this side')

    async def open(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> Result[model.Answer, model.Refusal]:
        """Send a call; see ``OutgoingCalls.open``."""
        if self.closed:
            return Error(
                model.build_refusal(
                    call,
                    model.Verdict.NOT_RUN,
                    model.Rule.CONNECTION_LOST,
                    'the connection closed before the call was sent',
                )
            )
        self.liveness.expect_response()
        return await self.outgoing.open(call, content, body)

    async def query_key(self, key: str, wait_s: float) -> wire.KeyState:
        """Ask for the state of a key; see ``KeyQueries.query``."""
        if self.closed:
            raise ConnectionError('the connection is closed')
        self.liveness.expect_response()
        return await self.outgoing.queries.query(key, wait_s)

    def awaits_response(self) -> bool:
        """Return whether this node waits for a response of the peer."""
        return bool(self.outgoing.open_calls or self.outgoing.queries.pending)

    def is_idle(self) -> bool:
        """Return whether no call or key query is open in either direction."""
        return not self.awaits_response() and not self.incoming.open_calls

    def announce_closing(self) -> None:
        """Announce that this node opens no more calls on the connection."""
        self.handlers.on_closing(self)
        self.send(0, goodbye=wire.Goodbye())

    def close_write(self) -> None:
        """Close the sending direction; the peer then closes its own."""
        if self.closed:
            return
        self.write_closed = True
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def close_silent(self) -> None:
        """Close a connection whose peer has stopped responding."""
        self.silent = True
        self.handlers.count_event('peer.silent')
        logging.warning(
            'no response on the connection to %s with %d calls outstanding',
            self.describe_peer(),
            len(self.outgoing.open_calls),
        )
        self.close('silent')

    def close(self, reason: str) -> None:
        """Abort the connection and fail its calls."""
        if self.transport is not None:
            self.transport.abort()
        self.mark_closed(reason)

    def mark_closed(self, reason: str) -> None:
        """Fail all calls of a closed connection, once."""
        if self.closed:
            return
        self.closed = True
        self.liveness.stop()
        self.graceful_close.stop()
        self.resume_writing()
        error = ConnectionError('%s: %s' % (self.describe_peer(), reason))
        if not self.ready.done():
            self.ready.set_exception(error)
            # Retrieves the exception, so that asyncio does not log it when
            # nothing waits for the handshake.
            self.ready.exception()
        self.outgoing.fail_all(error)
        self.incoming.cancel_all(error)
        self.handlers.on_closed(self)
