"""Runs the calls that the peer opens on one connection."""

import asyncio
import collections.abc
import time

from absl import logging
from expression import Result

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import body_pipe
from oleanderknot.tasks import body_sender
from oleanderknot.tasks import incoming_call
from oleanderknot.tasks import peer_handlers
from oleanderknot.tasks import send_window
from oleanderknot.tasks import task_log

# Largest tolerated difference between the wall clocks of two instances, for
# nodes of earlier versions, whose messages have no other time.
MAX_CLOCK_SKEW_S = 5.0


class IncomingCalls:
    """Runs the calls of the peer and sends their responses.

    Attributes:
        frame_writer: Writes frames to the peer.
        handlers: Functions that run calls and answer key queries.
        open_calls: Calls whose response is not complete, by call number.
        used_numbers: Call numbers that the peer has used.
        revoked: Numbers of calls that the peer has given up before they
            arrived; they must not run.
        arrival_delay: Estimates how long calls wait before they are read.
        on_result: Called with the number and the result of each call before
            the result is sent.
        on_ended: Called when a call has ended.
    """

    def __init__(
        self,
        *,
        frame_writer: body_sender.FrameWriter,
        handlers: peer_handlers.PeerHandlers,
    ) -> None:
        self.frame_writer = frame_writer
        self.handlers = handlers
        self.open_calls: dict[int, incoming_call.IncomingCall] = {}
        self.used_numbers = decisions.CallNumbers()
        self.revoked: set[int] = set()
        self.arrival_delay = decisions.ArrivalDelay()
        self.on_result: collections.abc.Callable[
            [int, Result[model.Answer, model.Refusal]], None
        ] = lambda number, result: None
        self.on_ended: collections.abc.Callable[[], None] = lambda: None
        self.loop = asyncio.get_running_loop()

    def handle_open(self, number: int, message: wire.Open) -> None:
        """Start a call.

        Raises:
            BadFrame: The call is malformed or its number was used before.
        """
        if number in self.revoked:
            self.handlers.count_event('peer.revoked_call')
            return
        if not self.used_numbers.accept(number):
            raise wire.BadFrame('call number %d was used before' % number)
        call = wire.call_from_open(
            message,
            now=self.loop.time(),
            find_delay_s=self.find_delay_s,
        )
        entry = incoming_call.IncomingCall(
            call=call, window=send_window.SendWindow()
        )
        if not message.body_complete:
            entry.request_body = body_pipe.BodyPipe(
                on_credit=lambda size: self.frame_writer.send(
                    number, credit=wire.Credit(size=size)
                ),
                on_cancel=lambda: None,
            )
            entry.request_body.offset = len(message.body)
        self.open_calls[number] = entry
        entry.task = self.loop.create_task(
            self.run_call(number, entry, message.body)
        )

    def find_delay_s(self, message: wire.Open) -> float:
        """Return how long a message waited before it was read, in seconds."""
        if message.sent_ms is not None:
            return self.arrival_delay.observe(
                message.sent_ms / 1000, time.clock_gettime(time.CLOCK_BOOTTIME)
            )
        sent_unix_ms = message.deadline_epoch_ms - message.deadline_ms
        return max(0.0, time.time() - sent_unix_ms / 1000 - MAX_CLOCK_SKEW_S)

    def revoke(self, number: int) -> bool:
        """Revoke a call; return whether it had not arrived."""
        if number in self.revoked:
            return True
        if not self.used_numbers.accept(number):
            return False
        self.revoked.add(number)
        return True

    async def run_call(
        self, number: int, entry: incoming_call.IncomingCall, content: bytes
    ) -> None:
        """Run a call and send its response."""
        try:
            result = await self.handlers.handle_call(
                entry.call, content, entry.request_body
            )
            self.on_result(number, result)
            if result.is_error():
                self.frame_writer.send(
                    number, failure=wire.failure_from_refusal(result.error)
                )
                return
            answer = result.ok
            if answer.body is not None:
                # The first parts of many long answers would fill the send
                # buffer, whose size is not bounded otherwise.
                try:
                    await self.frame_writer.wait_writable()
                except asyncio.CancelledError:
                    answer.body.cancel()
                    raise
            self.frame_writer.send(number, head=wire.head_from_answer(answer))
            if answer.body is not None:
                await body_sender.send_body(
                    self.frame_writer,
                    number,
                    answer.body,
                    entry.window,
                    offset=len(answer.content),
                )
        except Exception:
            # Without a response the peer would wait until its deadline.
            logging.exception('unexpected error in incoming call %d', number)
            self.frame_writer.send(
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
            self.open_calls.pop(number, None)
            # The error of a cancelled task refers to this frame and its
            # response. Without the cycle both are freed at once.
            entry.task = None
            self.on_ended()

    async def answer_key_query(
        self, number: int, query: wire.KeyQuery
    ) -> None:
        """Look up the state of a key and send it."""
        state = await self.handlers.answer_key_query(
            query.key or '', (query.wait_ms or 0) / 1000
        )
        self.frame_writer.send(number, key_state=state)

    def handle_key_query(self, number: int, query: wire.KeyQuery) -> None:
        """Start a task that answers a key query.

        Raises:
            BadFrame: The number was used before.
        """
        if not self.used_numbers.accept(number):
            raise wire.BadFrame('call number %d was used before' % number)
        task = self.loop.create_task(self.answer_key_query(number, query))
        task.add_done_callback(task_log.log_failure)

    def handle_chunk(self, number: int, chunk: wire.Chunk) -> None:
        """Add a chunk to its request body; a gap makes the body fail."""
        entry = self.open_calls.get(number)
        if entry is None or entry.request_body is None:
            self.handlers.count_event('peer.unknown_call')
            return
        if chunk.data is None or chunk.offset != entry.request_body.offset:
            self.handlers.count_event('peer.chunk_gap')
            entry.request_body.fail(
                model.Rule.BODY_CUT, 'a part of the request is missing'
            )
            return
        entry.request_body.put(chunk.data, bool(chunk.last))

    def handle_failure(self, number: int, failure: wire.Failure) -> None:
        """Fail a request body that the peer could not send completely."""
        entry = self.open_calls.get(number)
        if entry is not None and entry.request_body is not None:
            entry.request_body.fail(model.Rule.BODY_CUT, failure.detail or '')

    def handle_credit(self, number: int, size: int) -> None:
        """Add credit for the response body of a call."""
        entry = self.open_calls.get(number)
        if entry is not None:
            entry.window.add_credit(size)

    def handle_cancel(self, number: int) -> None:
        """Stop a call whose response the peer no longer waits for."""
        entry = self.open_calls.get(number)
        if entry is None:
            return
        entry.window.close(model.Rule.CALLER_LEFT)
        if entry.task is not None and self.handlers.may_cancel(entry.call):
            entry.task.cancel()

    def cancel_all(self, error: ConnectionError) -> None:
        """Cancel the calls that may be cancelled; the others run on."""
        for entry in list(self.open_calls.values()):
            entry.window.close(model.Rule.CONNECTION_LOST)
            if entry.request_body is not None:
                entry.request_body.fail(model.Rule.CONNECTION_LOST, str(error))
            if entry.task is not None and self.handlers.may_cancel(entry.call):
                entry.task.cancel()
