"""Calls that the other node has opened on one connection."""

import asyncio
import collections.abc
import time

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import body_pipe
from oleanderknot.tasks import body_sender
from oleanderknot.tasks import incoming_call
from oleanderknot.tasks import peer_handlers
from oleanderknot.tasks import send_window
from oleanderknot.tasks import task_log

# Difference of wall clocks between instances that calls tolerate.
CLOCK_SKEW_S = 5.0


class IncomingCalls:
    """Runs the calls of the other node and sends their answers.

    Attributes:
        outlet: Way to the other node.
        handlers: What the node does with calls and questions.
        entries: Calls whose answer is not sent, by number.
        numbers: Call numbers that the other node has used.
        on_done: Called when a call has ended.
    """

    def __init__(
        self,
        *,
        outlet: body_sender.FrameWriter,
        handlers: peer_handlers.PeerHandlers,
    ) -> None:
        self.outlet = outlet
        self.handlers = handlers
        self.entries: dict[int, incoming_call.IncomingCall] = {}
        self.numbers = decisions.CallNumbers()
        self.on_done: collections.abc.Callable[[], None] = lambda: None
        self.loop = asyncio.get_running_loop()

    def handle_open(self, number: int, message: wire.Open) -> None:
        """Start a call.

        Raises:
            BadFrame: The call is malformed or its number is in use.
        """
        if not self.numbers.accept(number):
            raise wire.BadFrame('call number %d was used before' % number)
        call = wire.call_from_open(
            message,
            now=self.loop.time(),
            unix_time_s=time.time(),
            max_skew_s=CLOCK_SKEW_S,
        )
        entry = incoming_call.IncomingCall(
            call=call, window=send_window.SendWindow()
        )
        if not message.body_complete:
            entry.pipe = body_pipe.BodyPipe(
                on_credit=lambda size: self.outlet.send(
                    number, credit=wire.Credit(size=size)
                ),
                on_cancel=lambda: None,
            )
            entry.pipe.offset = len(message.body)
        self.entries[number] = entry
        entry.task = self.loop.create_task(
            self.run(number, entry, message.body)
        )
        entry.task.add_done_callback(task_log.log_failure)

    async def run(
        self, number: int, entry: incoming_call.IncomingCall, content: bytes
    ) -> None:
        """Run a call and send its answer."""
        try:
            result = await self.handlers.run(entry.call, content, entry.pipe)
            if result.is_error():
                self.outlet.send(
                    number, failure=wire.failure_from_refusal(result.error)
                )
                return
            answer = result.ok
            self.outlet.send(number, head=wire.head_from_answer(answer))
            if answer.body is not None:
                await body_sender.send_body(
                    self.outlet,
                    number,
                    answer.body,
                    entry.window,
                    offset=len(answer.content),
                )
        except Exception:
            # Without this answer the other node would wait until its
            # deadline.
            logging.exception('call %d failed', number)
            self.outlet.send(
                number,
                failure=wire.failure_from_refusal(
                    model.build_refusal(
                        entry.call,
                        model.Verdict.MAY_HAVE_RUN,
                        model.Rule.INTERNAL_ERROR,
                        'the node beside the upstream failed',
                    )
                ),
            )
        finally:
            self.entries.pop(number, None)
            self.on_done()

    async def answer_query(self, number: int, query: wire.KeyQuery) -> None:
        """Answer a question about a key."""
        state = await self.handlers.query(
            query.key or '', (query.wait_ms or 0) / 1000
        )
        self.outlet.send(number, key_state=state)

    def handle_key_query(self, number: int, query: wire.KeyQuery) -> None:
        """Start to answer a question about a key.

        Raises:
            BadFrame: The number was used before.
        """
        if not self.numbers.accept(number):
            raise wire.BadFrame('call number %d was used before' % number)
        task = self.loop.create_task(self.answer_query(number, query))
        task.add_done_callback(task_log.log_failure)

    def handle_chunk(self, number: int, chunk: wire.Chunk) -> None:
        """Put a chunk into its request; a gap cuts the request."""
        entry = self.entries.get(number)
        if entry is None or entry.pipe is None:
            self.handlers.count('peer.unknown_call')
            return
        if chunk.data is None or chunk.offset != entry.pipe.offset:
            self.handlers.count('peer.chunk_gap')
            entry.pipe.fail(
                model.Rule.BODY_CUT, 'a part of the request is missing'
            )
            return
        entry.pipe.put(chunk.data, bool(chunk.last))

    def handle_failure(self, number: int, failure: wire.Failure) -> None:
        """Cut a request body that the other node could not send whole."""
        entry = self.entries.get(number)
        if entry is not None and entry.pipe is not None:
            entry.pipe.fail(model.Rule.BODY_CUT, failure.detail or '')

    def handle_credit(self, number: int, size: int) -> None:
        """Let an answer's body go on."""
        entry = self.entries.get(number)
        if entry is not None:
            entry.window.grant(size)

    def handle_cancel(self, number: int) -> None:
        """Stop a call that the other node no longer waits for."""
        entry = self.entries.get(number)
        if entry is None:
            return
        entry.window.close(model.Rule.CALLER_LEFT)
        if entry.task is not None and self.handlers.may_cancel(entry.call):
            entry.task.cancel()

    def lose_all(self, error: ConnectionError) -> None:
        """Stop what can be stopped; non-idempotent calls run to their end."""
        for entry in list(self.entries.values()):
            entry.window.close(model.Rule.CONNECTION_LOST)
            if entry.pipe is not None:
                entry.pipe.fail(model.Rule.CONNECTION_LOST, str(error))
            if entry.task is not None and self.handlers.may_cancel(entry.call):
                entry.task.cancel()
