"""Tracks the calls that this node opens on one connection."""

import asyncio
import collections.abc
import time

from expression import Error
from expression import Result

from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import body_pipe
from oleanderknot.tasks import body_sender
from oleanderknot.tasks import call_refusal
from oleanderknot.tasks import deadlines
from oleanderknot.tasks import key_queries
from oleanderknot.tasks import outgoing_call
from oleanderknot.tasks import send_window
from oleanderknot.tasks import task_log


class OutgoingCalls:
    """Matches the responses that arrive on a connection to its calls.

    Call numbers rise by two and are never reused on the connection, so a late
    response cannot be matched to another call.

    Attributes:
        frame_writer: Writes frames to the peer.
        get_peer_name: Returns the name of the peer for messages.
        count_event: Counts an event by name.
        last_number: Last call number used.
        open_calls: Calls whose response is not complete, by call number.
        deadlines: Deadlines of the calls without an answer, by call number.
        queries: Queries about keys.
        lost: Error that ended the connection; None while it is open.
        on_ended: Called when a call has ended.
    """

    def __init__(
        self,
        *,
        frame_writer: body_sender.FrameWriter,
        get_peer_name: collections.abc.Callable[[], str],
        count_event: collections.abc.Callable[[str], None],
        first_number: int,
    ) -> None:
        self.frame_writer = frame_writer
        self.get_peer_name = get_peer_name
        self.count_event = count_event
        self.last_number = first_number - 2
        self.open_calls: dict[int, outgoing_call.OutgoingCall] = {}
        self.deadlines = deadlines.Deadlines(on_passed=self.expire)
        self.queries = key_queries.KeyQueries(
            frame_writer=frame_writer, take_number=self.take_number
        )
        self.lost: ConnectionError | None = None
        self.on_ended: collections.abc.Callable[[], None] = lambda: None
        self.loop = asyncio.get_running_loop()

    def take_number(self) -> int:
        """Return the number of the next call or query."""
        self.last_number += 2
        return self.last_number

    async def open(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> Result[model.Answer, model.Refusal]:
        """Send a call and wait for the head of its response.

        Args:
            call: The call; its deadline bounds the wait.
            content: First bytes of the request body.
            body: Rest of the request body, if it is streamed.

        Returns:
            The response, or a refusal by the peer or by this connection.
        """
        number = self.take_number()
        entry = outgoing_call.OutgoingCall(
            call=call, future=self.loop.create_future()
        )
        self.open_calls[number] = entry
        self.deadlines.add(number, call.deadline)
        self.frame_writer.send(
            number,
            open=wire.open_from_call(
                call,
                body=content,
                body_complete=body is None,
                now=self.loop.time(),
                unix_time_s=time.time(),
                clock_s=time.clock_gettime(time.CLOCK_BOOTTIME),
            ),
        )
        if body is not None:
            self.start_body_sender(number, entry, body, len(content))
        try:
            return await entry.future
        except asyncio.CancelledError:
            self.abandon(number)
            raise
        finally:
            # The error of a cancelled future refers to this frame and the
            # body. Without the cycle both are freed at once.
            del entry

    def start_body_sender(
        self,
        number: int,
        entry: outgoing_call.OutgoingCall,
        body: model.Body,
        offset: int,
    ) -> None:
        """Start the task that sends the rest of a request body."""
        entry.window = send_window.SendWindow()
        entry.body_sender = self.loop.create_task(
            body_sender.send_body(
                self.frame_writer, number, body, entry.window, offset=offset
            )
        )
        entry.body_sender.add_done_callback(task_log.log_failure)

    def remove(self, number: int) -> outgoing_call.OutgoingCall | None:
        """Remove a call and cancel its deadline and its body sender."""
        entry = self.open_calls.pop(number, None)
        if entry is None:
            return None
        self.deadlines.remove(number)
        if entry.body_sender is not None:
            entry.body_sender.cancel()
        self.on_ended()
        return entry

    def abandon(self, number: int) -> None:
        """Drop a call and notify the peer, which may still run it.

        A non-idempotent call must not run with an incomplete body, so a body
        that is still being sent is ended by a failure frame instead of a
        cancel frame.
        """
        entry = self.open_calls.get(number)
        if entry is None:
            return
        sender = entry.body_sender
        sending = sender is not None and not sender.done()
        self.remove(number)
        if entry.call.idempotent or not sending:
            self.frame_writer.send(number, cancel=wire.Cancel())
        else:
            self.frame_writer.send(
                number,
                failure=wire.Failure(
                    verdict=1,
                    rule=model.Rule.BODY_CUT.value,
                    detail='the caller left',
                ),
            )

    def expire(self, number: int) -> None:
        """Fail a call whose deadline has passed."""
        entry = self.open_calls.get(number)
        if entry is None or entry.future.done():
            return
        self.abandon(number)
        entry.future.set_result(
            call_refusal.refuse(
                entry.call,
                model.Verdict.MAY_HAVE_RUN,
                model.Rule.DEADLINE,
                'no answer from %s before the deadline' % self.get_peer_name(),
            )
        )

    def handle_head(self, number: int, head: wire.Head) -> None:
        """Pass the head of a response to the caller.

        Raises:
            BadFrame: The head is malformed.
        """
        entry = self.open_calls.get(number)
        if entry is None or entry.future.done():
            self.count_event('peer.unknown_answer')
            return
        if head.body_complete:
            answer = wire.answer_from_head(head, None)
            self.remove(number)
        else:
            self.deadlines.remove(number)
            entry.response_body = body_pipe.BodyPipe(
                on_credit=lambda size: self.frame_writer.send(
                    number, credit=wire.Credit(size=size)
                ),
                on_cancel=lambda: self.cancel_response(number),
            )
            entry.response_body.offset = len(head.body or b'')
            answer = wire.answer_from_head(head, entry.response_body)
        entry.future.set_result(model.build_success(answer))

    def cancel_response(self, number: int) -> None:
        """Cancel a response that is no longer read."""
        if self.remove(number) is not None:
            self.frame_writer.send(number, cancel=wire.Cancel())

    def handle_failure(self, number: int, failure: wire.Failure) -> None:
        """Pass a refusal to the caller, or fail a body that has begun.

        Raises:
            BadFrame: The failure is malformed.
        """
        refusal = wire.refusal_from_failure(failure)
        entry = self.remove(number)
        if entry is None:
            self.count_event('peer.unknown_answer')
        elif not entry.future.done():
            entry.future.set_result(Error(refusal))
        elif entry.response_body is not None:
            entry.response_body.fail(refusal.rule, refusal.detail)

    def handle_chunk(self, number: int, chunk: wire.Chunk) -> None:
        """Add a chunk to its response body; a gap makes the call fail."""
        entry = self.open_calls.get(number)
        if entry is None:
            self.count_event('peer.unknown_answer')
            return
        expected = (
            entry.response_body.offset
            if entry.response_body is not None
            else -1
        )
        if chunk.data is None or chunk.offset != expected:
            self.count_event('peer.chunk_gap')
            self.fail(number, 'a part of the answer is missing')
            self.frame_writer.send(number, cancel=wire.Cancel())
            return
        entry.response_body.put(chunk.data, bool(chunk.last))
        if chunk.last:
            self.remove(number)

    def handle_credit(self, number: int, size: int) -> None:
        """Add credit for the request body of a call."""
        entry = self.open_calls.get(number)
        if entry is not None and entry.window is not None:
            entry.window.add_credit(size)

    def begin_recovery(self) -> dict[int, model.Call]:
        """Keep the calls without any part of an answer until further notice.

        They do not fail with the connection before ``end_recovery``.

        Returns:
            The calls by their numbers.
        """
        calls = {}
        for number, entry in self.open_calls.items():
            if not entry.future.done():
                entry.recovering = True
                calls[number] = entry.call
        return calls

    def end_recovery(
        self, number: int, result: Result[model.Answer, model.Refusal] | None
    ) -> None:
        """Complete a call with its recovered result.

        Args:
            number: Number of the call.
            result: The result; None if the peer could not tell it.
        """
        entry = self.open_calls.get(number)
        if entry is None or entry.future.done():
            return
        entry.recovering = False
        if result is not None:
            self.remove(number)
            entry.future.set_result(result)
        elif self.lost is not None:
            self.fail(number, str(self.lost))

    def fail(self, number: int, detail: str) -> None:
        """Fail a call that may have run."""
        entry = self.remove(number)
        if entry is None:
            return
        if entry.response_body is not None:
            entry.response_body.fail(model.Rule.CONNECTION_LOST, detail)
        if not entry.future.done():
            entry.future.set_result(
                call_refusal.refuse(
                    entry.call,
                    model.Verdict.MAY_HAVE_RUN,
                    model.Rule.CONNECTION_LOST,
                    detail,
                )
            )

    def fail_all(self, error: ConnectionError) -> None:
        """Fail all pending key queries and calls but those in recovery."""
        self.lost = error
        self.queries.fail_all(error)
        for number, entry in list(self.open_calls.items()):
            if not entry.recovering:
                self.fail(number, str(error))
