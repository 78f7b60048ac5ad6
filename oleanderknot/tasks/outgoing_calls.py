"""Calls that this node has opened on one connection."""

import asyncio
import collections.abc
import time

from expression import Error
from expression import Ok
from expression import Result

from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import body_pipe
from oleanderknot.tasks import body_sender
from oleanderknot.tasks import outgoing_call
from oleanderknot.tasks import send_window
from oleanderknot.tasks import task_log


class OutgoingCalls:
    """Matches the answers of one connection to its calls.

    Call numbers rise by two and are never used again on the connection, so a
    late answer cannot be taken for the answer to another call.

    Attributes:
        outlet: Way to the other node.
        name: Name of the other node for messages.
        count: Counts an event by name.
        last_number: Call number used last.
        entries: Calls whose answer is not whole, by number.
        queries: Questions about keys without an answer, by number.
        on_done: Called when a call or question has ended.
    """

    def __init__(
        self,
        *,
        outlet: body_sender.FrameWriter,
        name: collections.abc.Callable[[], str],
        count: collections.abc.Callable[[str], None],
        first_number: int,
    ) -> None:
        self.outlet = outlet
        self.name = name
        self.count = count
        self.last_number = first_number - 2
        self.entries: dict[int, outgoing_call.OutgoingCall] = {}
        self.queries: dict[int, asyncio.Future[wire.KeyState]] = {}
        self.on_done: collections.abc.Callable[[], None] = lambda: None
        self.loop = asyncio.get_running_loop()

    async def open(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> Result[model.Answer, model.Refusal]:
        """Send a call and wait for the head of its answer.

        Args:
            call: The call; its deadline bounds the wait.
            content: First bytes of the request body.
            body: Rest of the request body, if it arrives in parts.

        Returns:
            The answer, or a refusal of the other node or of this connection.
        """
        self.last_number += 2
        number = self.last_number
        entry = outgoing_call.OutgoingCall(
            call=call, future=self.loop.create_future()
        )
        self.entries[number] = entry
        entry.timer = self.loop.call_at(call.deadline, self.expire, number)
        self.outlet.send(
            number,
            open=wire.open_from_call(
                call,
                body=content,
                body_complete=body is None,
                now=self.loop.time(),
                unix_time_s=time.time(),
            ),
        )
        if body is not None:
            self.start_sender(number, entry, body, len(content))
        try:
            return await entry.future
        except asyncio.CancelledError:
            self.abandon(number)
            raise

    def start_sender(
        self,
        number: int,
        entry: outgoing_call.OutgoingCall,
        body: model.Body,
        offset: int,
    ) -> None:
        """Start the task that sends the rest of a request body."""
        entry.window = send_window.SendWindow()
        entry.sender = self.loop.create_task(
            body_sender.send_body(
                self.outlet, number, body, entry.window, offset=offset
            )
        )
        entry.sender.add_done_callback(task_log.log_failure)

    async def query(self, key: str, wait_s: float) -> wire.KeyState:
        """Ask the other node what became of a key.

        Args:
            key: The key.
            wait_s: Seconds that the other node may wait for a running call.

        Returns:
            The state of the key.

        Raises:
            ConnectionError: The connection closed before the answer.
            TimeoutError: No answer came in ``wait_s`` and one second more.
        """
        self.last_number += 2
        number = self.last_number
        future = self.loop.create_future()
        self.queries[number] = future
        self.outlet.send(
            number,
            key_query=wire.KeyQuery(key=key, wait_ms=int(wait_s * 1000)),
        )
        try:
            async with asyncio.timeout(wait_s + 1):
                return await future
        finally:
            self.queries.pop(number, None)
            self.on_done()

    def finish(self, number: int) -> outgoing_call.OutgoingCall | None:
        """Remove a call and stop what belongs to it."""
        entry = self.entries.pop(number, None)
        if entry is None:
            return None
        if entry.timer is not None:
            entry.timer.cancel()
        if entry.sender is not None:
            entry.sender.cancel()
        self.on_done()
        return entry

    def abandon(self, number: int) -> None:
        """Forget a call and tell the other node, which may go on with it.

        A non-idempotent call whose body is not whole must not run.
        """
        entry = self.finish(number)
        if entry is None:
            return
        if entry.call.idempotent or entry.sender is None:
            self.outlet.send(number, cancel=wire.Cancel())
        else:
            self.outlet.send(
                number,
                failure=wire.Failure(
                    verdict=1,
                    rule=model.Rule.BODY_CUT.value,
                    detail='the caller left',
                ),
            )

    def expire(self, number: int) -> None:
        """Fail a call whose deadline has passed."""
        entry = self.entries.get(number)
        if entry is None or entry.future.done():
            return
        self.abandon(number)
        entry.future.set_result(
            Error(
                model.build_refusal(
                    entry.call,
                    model.Verdict.MAY_HAVE_RUN,
                    model.Rule.DEADLINE,
                    'no answer from %s before the deadline' % self.name(),
                )
            )
        )

    def handle_head(self, number: int, head: wire.Head) -> None:
        """Pass on the head of an answer.

        Raises:
            BadFrame: The head is malformed.
        """
        entry = self.entries.get(number)
        if entry is None or entry.future.done():
            self.count('peer.unknown_answer')
            return
        if head.body_complete:
            answer = wire.answer_from_head(head, None)
            self.finish(number)
        else:
            entry.timer.cancel()
            entry.pipe = body_pipe.BodyPipe(
                on_credit=lambda size: self.outlet.send(
                    number, credit=wire.Credit(size=size)
                ),
                on_cancel=lambda: self.cancel_answer(number),
            )
            entry.pipe.offset = len(head.body or b'')
            answer = wire.answer_from_head(head, entry.pipe)
        entry.future.set_result(Ok(answer))

    def cancel_answer(self, number: int) -> None:
        """End an answer that nobody reads on."""
        if self.finish(number) is not None:
            self.outlet.send(number, cancel=wire.Cancel())

    def handle_failure(self, number: int, failure: wire.Failure) -> None:
        """Pass on a refusal, or cut a body that had begun.

        Raises:
            BadFrame: The failure is malformed.
        """
        refusal = wire.refusal_from_failure(failure)
        entry = self.finish(number)
        if entry is None:
            self.count('peer.unknown_answer')
        elif not entry.future.done():
            entry.future.set_result(Error(refusal))
        elif entry.pipe is not None:
            entry.pipe.fail(refusal.rule, refusal.detail)

    def handle_chunk(self, number: int, chunk: wire.Chunk) -> None:
        """Put a chunk into its answer; a gap cuts the answer."""
        entry = self.entries.get(number)
        if entry is None:
            self.count('peer.unknown_answer')
            return
        expected = entry.pipe.offset if entry.pipe is not None else -1
        if chunk.data is None or chunk.offset != expected:
            self.count('peer.chunk_gap')
            self.lose(number, 'a part of the answer is missing')
            self.outlet.send(number, cancel=wire.Cancel())
            return
        entry.pipe.put(chunk.data, bool(chunk.last))
        if chunk.last:
            self.finish(number)

    def handle_credit(self, number: int, size: int) -> None:
        """Let a request body go on."""
        entry = self.entries.get(number)
        if entry is not None and entry.window is not None:
            entry.window.grant(size)

    def handle_key_state(self, number: int, state: wire.KeyState) -> None:
        """Pass on the answer to a question about a key."""
        future = self.queries.pop(number, None)
        if future is not None and not future.done():
            future.set_result(state)

    def lose(self, number: int, detail: str) -> None:
        """Fail a call that may have run."""
        entry = self.finish(number)
        if entry is None:
            return
        if entry.pipe is not None:
            entry.pipe.fail(model.Rule.CONNECTION_LOST, detail)
        if not entry.future.done():
            entry.future.set_result(
                Error(
                    model.build_refusal(
                        entry.call,
                        model.Verdict.MAY_HAVE_RUN,
                        model.Rule.CONNECTION_LOST,
                        detail,
                    )
                )
            )

    def lose_all(self, error: ConnectionError) -> None:
        """Fail everything that waits for the other node."""
        for future in self.queries.values():
            if not future.done():
                future.set_exception(error)
        for number in list(self.entries):
            self.lose(number, str(error))
