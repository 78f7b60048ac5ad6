"""One connection to another node, with many calls at once."""

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
from oleanderknot.tasks import outgoing_calls
from oleanderknot.tasks import peer_handlers
from oleanderknot.tasks import silence_watch


class PeerConnection(asyncio.Protocol):
    """Owns one socket; both sides may open calls on it.

    Attributes:
        identity: Identity of this node.
        handlers: What the node does with messages.
        target: Instance and incarnation that the dialler wants to reach;
            None on the accepting side. An incarnation of 0 accepts any.
        peer: Identity of the other node after the handshake.
        ready: Done after the handshake; holds the error if it failed.
        session: Number of the connection, in every frame.
        graceful_close: Ends the connection when both sides have finished.
        used_at: Loop time in seconds of the last frame received.
        silent: Whether it ended because it had gone silent.
        finished: Whether this node has ended its direction.
        closed: Whether the connection has ended.
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
        self.used_at = self.loop.time()
        self.silent = False
        self.finished = False
        self.closed = False
        outlet = body_sender.FrameWriter(
            send=self.send, wait_writable=self.wait_writable
        )
        # The dialler uses odd call numbers, the other side even ones.
        self.outgoing = outgoing_calls.OutgoingCalls(
            outlet=outlet,
            name=self.describe,
            count=handlers.count,
            first_number=1 if target is not None else 2,
        )
        self.incoming = incoming_calls.IncomingCalls(
            outlet=outlet, handlers=handlers
        )
        self.watch = silence_watch.SilenceWatch(
            has_work=self.has_work,
            probe=lambda: self.send(0, ping=wire.Ping(number=0)),
            on_silent=self.close_silent,
        )
        self.graceful_close = graceful_close.GracefulClose(
            is_idle=self.is_idle,
            send_goodbye=self.announce_close,
            half_close=self.finish,
            abort=lambda: self.close('no answer to the goodbye'),
        )
        self.outgoing.on_done = self.incoming.on_done = (
            self.graceful_close.close_if_done
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake; called by the event loop."""
        self.transport = transport
        if self.target is not None:
            self.send_hello(*self.target)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; called by the event loop."""
        self.used_at = self.loop.time()
        try:
            for frame in self.reader.feed(data):
                if frame.call == 0:
                    self.handlers.traffic.received += self.reader.frame_bytes
                self.handle(frame)
                if self.closed:
                    return
        except wire.BadFrame as error:
            self.handlers.count('peer.bad_frame')
            logging.warning(
                'closing the connection to %s after a bad frame: %s',
                self.describe(),
                error,
            )
            self.close('bad frame')

    def pause_writing(self) -> None:
        """Stop bodies while the socket is full; called by the event loop."""
        self.writable = self.loop.create_future()

    def resume_writing(self) -> None:
        """Let bodies go on; called by the event loop."""
        if self.writable is not None and not self.writable.done():
            self.writable.set_result(None)
        self.writable = None

    def connection_lost(self, error: Exception | None) -> None:
        """Fail all calls; called by the event loop."""
        self.release('connection lost: %s' % error if error else 'closed')

    async def wait_writable(self) -> None:
        """Wait while the socket's buffer is full."""
        if self.writable is not None:
            await asyncio.shield(self.writable)

    def describe(self) -> str:
        """Return a name of the other side for messages."""
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
        """Take the handshake message of the other node.

        Raises:
            BadFrame: The message is malformed or meant for another node.
        """
        if self.peer is not None:
            raise wire.BadFrame('unexpected hello')
        self.peer = handshake.check_hello(self.identity, hello)
        if self.target is None:
            self.session = hello.session
            self.send_hello(hello.instance, hello.incarnation)
        if not self.ready.done():
            self.ready.set_result(None)
        self.handlers.opened(self)

    def send(self, call: int, **message: typing.Any) -> None:
        """Send one frame; the named argument is its message."""
        if self.closed or self.finished or self.transport is None:
            return
        frame = wire.Frame(session=self.session, call=call, **message)
        data = self.codec.encode(frame)
        if call == 0:
            self.handlers.traffic.sent += len(data)
        self.transport.write(data)

    def handle(self, frame: wire.Frame) -> None:
        """Hand a frame to the part that it belongs to.

        Raises:
            BadFrame: The frame breaks the protocol.
        """
        if frame.hello is not None:
            self.handle_hello(frame.hello)
            return
        if self.peer is None or frame.session != self.session:
            raise wire.BadFrame('frame of another session')
        number = frame.call
        own = number % 2 == self.outgoing.last_number % 2
        side = self.outgoing if own else self.incoming
        # Credit answers for bytes of this side; while bulk data fills a slow
        # path, the answer to a probe waits behind it for seconds.
        if own and number or frame.pong or frame.credit:
            self.watch.note_heard()
        if frame.head is not None and own:
            self.outgoing.handle_head(number, frame.head)
        elif frame.open is not None and not own:
            self.incoming.handle_open(number, frame.open)
        elif frame.chunk is not None:
            side.handle_chunk(number, frame.chunk)
        elif frame.credit is not None:
            side.handle_credit(number, max(0, frame.credit.size or 0))
        elif frame.failure is not None:
            side.handle_failure(number, frame.failure)
        elif frame.cancel is not None and not own:
            self.incoming.handle_cancel(number)
        elif frame.gossip is not None:
            self.handlers.gossip(self, frame.gossip)
        elif frame.policy_sync is not None:
            self.handlers.policy(self, frame.policy_sync)
        elif frame.ping is not None:
            self.send(0, pong=wire.Pong(number=frame.ping.number))
        elif frame.key_query is not None and not own:
            self.incoming.handle_key_query(number, frame.key_query)
        elif frame.key_state is not None and own:
            self.outgoing.handle_key_state(number, frame.key_state)
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
        self.watch.expect()
        return await self.outgoing.open(call, content, body)

    async def query(self, key: str, wait_s: float) -> wire.KeyState:
        """Ask what became of a key; see ``OutgoingCalls.query``."""
        if self.closed:
            raise ConnectionError('the connection is closed')
        self.watch.expect()
        return await self.outgoing.query(key, wait_s)

    def has_work(self) -> bool:
        """Return whether this node waits for the other one."""
        return bool(self.outgoing.entries or self.outgoing.queries)

    def is_idle(self) -> bool:
        """Return whether neither side waits for the other one."""
        return not self.has_work() and not self.incoming.entries

    def announce_close(self) -> None:
        """Tell both nodes that this one opens no more calls here."""
        self.handlers.closing(self)
        self.send(0, goodbye=wire.Goodbye())

    def finish(self) -> None:
        """End the own direction; the other node then ends its own."""
        self.finished = True
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def close_silent(self) -> None:
        """End a connection that has gone silent."""
        self.silent = True
        self.handlers.count('peer.silent')
        logging.warning(
            'the connection to %s is silent with %d calls outstanding',
            self.describe(),
            len(self.outgoing.entries),
        )
        self.close('silent')

    def close(self, why: str) -> None:
        """End the connection at once and fail its calls."""
        if self.transport is not None:
            self.transport.abort()
        self.release(why)

    def release(self, why: str) -> None:
        """Fail all calls of a connection that has ended."""
        if self.closed:
            return
        self.closed = True
        self.watch.stop()
        self.graceful_close.stop()
        self.resume_writing()
        error = ConnectionError('%s: %s' % (self.describe(), why))
        if not self.ready.done():
            self.ready.set_exception(error)
            # Marks the error as seen when nobody waits for the handshake.
            self.ready.exception()
        self.outgoing.lose_all(error)
        self.incoming.lose_all(error)
        self.handlers.closed(self)
