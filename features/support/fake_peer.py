"""Peer that sends responses with wrong call and session numbers."""

import asyncio
import random
import time

from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import control_traffic
from oleanderknot.tasks import peer_handlers
from oleanderknot.tasks import peer_pool

IDENTITY = model.NodeIdentity(
    instance='fake', incarnation=1, data_centre='dc1'
)
CALL_TIMEOUT_S = 0.5


class FakePeer:
    """Completes the handshake, then sends mismatched responses.

    Attributes:
        previous_session: Session of the previous connection; 0 for none.
    """

    def __init__(self) -> None:
        self.previous_session = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        frames = wire.FrameReader(codec=wire.Codec())
        try:
            while data := await reader.read(65536):
                for frame in frames.feed(data):
                    self.answer(frame, writer)
        except OSError:
            pass
        finally:
            writer.close()

    def answer(self, frame: wire.Frame, writer: asyncio.StreamWriter) -> None:
        """Respond to a hello or open frame."""
        if frame.hello is not None:
            hello = wire.Hello(
                protocol=1,
                session=frame.session,
                instance=IDENTITY.instance,
                incarnation=IDENTITY.incarnation,
                data_centre=IDENTITY.data_centre,
                target_instance=frame.hello.instance,
                target_incarnation=frame.hello.incarnation,
            )
            writer.write(
                wire.encode(
                    wire.Frame(session=frame.session, call=0, hello=hello)
                )
            )
        elif frame.open is not None:
            head = wire.Head(
                status=200,
                headers=[],
                body=b'foreign',
                body_complete=True,
                unspent=0,
                reports=[],
            )
            # An unused call number, then the correct call number with the
            # session of an earlier connection.
            for session, call in (
                (frame.session, frame.call + 1000),
                (self.previous_session or frame.session ^ 1, frame.call),
            ):
                writer.write(
                    wire.encode(
                        wire.Frame(session=session, call=call, head=head)
                    )
                )
            self.previous_session = frame.session


async def discard(*arguments: object) -> None:
    """Discard a message."""


def build_handlers() -> peer_handlers.PeerHandlers:
    """Build handlers that discard all messages."""
    return peer_handlers.PeerHandlers(
        handle_call=discard,
        answer_key_query=discard,
        handle_gossip=lambda *arguments: None,
        handle_policy_sync=lambda *arguments: None,
        on_opened=lambda connection: None,
        on_closed=lambda connection: None,
        count_event=lambda name: None,
        on_closing=lambda connection: None,
        control_bytes=control_traffic.ControlTraffic(),
    )


async def send_calls(peer: FakePeer, count: int) -> list:
    """Send calls to a fake peer, each over a new connection.

    Args:
        peer: The peer.
        count: Number of calls.

    Returns:
        The result of each call.
    """
    server = await asyncio.start_server(peer.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    pool = peer_pool.PeerPool(
        identity=model.NodeIdentity(
            instance='caller', incarnation=1, data_centre='dc1'
        ),
        handlers=build_handlers(),
    )
    rng = random.Random(3)
    results = []
    for _ in range(count):
        connection = await pool.dial('127.0.0.1', port, ('fake', 1))
        call = model.Call(
            service='patterns',
            method='GET',
            path='/',
            headers=[],
            request_class=model.RequestClass.BROWSING,
            deadline=time.monotonic() + CALL_TIMEOUT_S,
            trace_id='%032x' % rng.getrandbits(128),
            span_id='%016x' % rng.getrandbits(64),
        )
        results.append(await connection.open(call, b'', None))
        connection.close('the test ends')
    server.close()
    # Lets the peer process the closing of its connections.
    await asyncio.sleep(0.1)
    return results
