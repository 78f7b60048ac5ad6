"""Sends calls to the local upstream over a pool of HTTP connections."""

import asyncio
import collections
import collections.abc

from expression import Error
from expression import Result

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import transport
from oleanderknot.tasks import call_refusal
from oleanderknot.tasks import deadlines
from oleanderknot.tasks import http_dialect
from oleanderknot.tasks import upstream_messages

# The upstream is on the same machine, so a connection that is not established
# after this time has met a full accept queue, and a lost SYN is retransmitted
# only after 1 s.
CONNECT_TIMEOUT_S = 0.5

# Maximum idle time of a reused connection. An upstream may drop idle
# connections, and a request on a dropped one is lost, so requests that are not
# idempotent use only connections that have been idle for a shorter time.
MAX_IDLE_S = 4.0
MAX_IDLE_NON_IDEMPOTENT_S = 1.0

# Extra time after the deadline for the answer to a non-idempotent call.
ANSWER_GRACE_S = 0.3

# Maximum number of times that one call is sent while the upstream refuses it.
# If the upstream refuses every second request, one call in 64 still fails.
MAX_SENDS = 6


class UpstreamPool:
    """Owns the connections to one run of the upstream process.

    Attributes:
        host: IP address of the upstream.
        port: TCP port of the upstream.
        upstream: Id of this run of the upstream; empty if unknown.
        dialect: Decodes and encodes headers.
        authorize_send: Called before each send with the call and whether the
            upstream has refused it before. It counts the send and returns
            whether the budgets of the upstream allow it.
        check_start: Returns why a call must not be sent after a wait, or None.
        record_latency: Called after each send with the seconds until its
            answer or failure.
        on_answer: Called with the metadata of each answer.
        idle: Connections without a request, the most recently used last.
        opened: Number of attempts to open a connection.
        budget: Bounds the memory of incomplete answers.
        deadlines: Deadlines of the requests without an answer, by the future
            of their answer.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        upstream: str,
        dialect: http_dialect.HttpDialect,
        authorize_send: collections.abc.Callable[[model.Call, bool], bool],
        check_start: collections.abc.Callable[
            [model.Call], model.Refusal | None
        ],
        record_latency: collections.abc.Callable[[float], None],
        on_answer: collections.abc.Callable[[model.ResponseMetadata], None],
        memory: decisions.NodeMemory | None = None,
    ) -> None:
        self.on_answer = on_answer
        self.record_latency = record_latency
        self.authorize_send = authorize_send
        self.check_start = check_start
        self.host = host
        self.port = port
        self.upstream = upstream
        self.dialect = dialect
        self.loop = asyncio.get_running_loop()
        self.idle: collections.deque[transport.ResponseConnection] = (
            collections.deque()
        )
        self.opened = 0
        self.budget = transport.ReceiveBudget(memory=memory)
        self.deadlines = deadlines.Deadlines(on_passed=expire)

    async def connect(self, deadline: float) -> transport.ResponseConnection:
        """Open a connection.

        Args:
            deadline: Loop time in seconds by which it must be open.

        Raises:
            OSError: The upstream cannot be reached.
            TimeoutError: It did not answer in time.
        """
        self.opened += 1
        latest = min(deadline, self.loop.time() + CONNECT_TIMEOUT_S)
        async with asyncio.timeout_at(latest):
            _, connection = await self.loop.create_connection(
                lambda: transport.ResponseConnection(
                    decode_headers=self.dialect.parse_response_headers,
                    budget=self.budget,
                ),
                self.host,
                self.port,
            )
        return connection

    def take_idle(
        self, now: float, max_idle_s: float, request_id: str
    ) -> transport.ResponseConnection | None:
        """Take the most recently used idle connection that is usable.

        A faulty upstream may send an earlier refusal once more. On the
        connection that carried it, it would pass for the answer to the
        repeat of the same request, which may run.
        """
        skipped = []
        found = None
        while self.idle and found is None:
            connection = self.idle.pop()
            if not connection.is_usable(now, max_idle_s):
                connection.transport.close()
            elif request_id in connection.sent_ids:
                skipped.append(connection)
            else:
                found = connection
        self.idle.extend(reversed(skipped))
        return found

    def release(self, connection: transport.ResponseConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if not connection.reusable or connection.closed:
            connection.transport.close()
            return
        self.idle.append(connection)
        oldest = self.idle[0]
        if not oldest.is_usable(self.loop.time(), MAX_IDLE_S):
            self.idle.popleft().transport.close()

    def discard_idle(self, since: float) -> None:
        """Close the idle connections that have not answered since a time.

        What made one connection unresponsive may hold for all that were open.

        Args:
            since: Loop time in seconds.
        """
        kept = [item for item in self.idle if item.idle_since > since]
        for connection in self.idle:
            if connection.idle_since <= since:
                connection.abort()
        self.idle = collections.deque(kept)

    async def request(
        self,
        call: model.Call,
        content: bytes,
        body: model.Body | None,
        *,
        now: float,
    ) -> Result[model.Answer, model.Refusal]:
        """Send a request and wait for the complete answer.

        Args:
            call: The call.
            content: The complete request body.
            body: Always None; bodies are complete before a call is admitted.
            now: Monotonic time in seconds.

        Returns:
            The answer of the upstream, or a refusal that says whether the
            call may have run. A call that the upstream refused is sent again
            as long as the budget of repeats allows it.
        """
        if not self.authorize_send(call, False):
            return call_refusal.refuse(
                call,
                model.Verdict.NOT_RUN,
                model.Rule.RETRY_BUDGET,
                'the budget of repeats of the upstream is spent',
            )
        sends = 0
        while True:
            sends += 1
            result = await self.send_once(call, content, now)
            if (
                result.is_ok()
                or sends >= MAX_SENDS
                or result.error.rule is not model.Rule.UPSTREAM_REFUSED
                or self.loop.time() >= call.deadline
                or not self.authorize_send(call, True)
            ):
                return result

    async def send_once(
        self, call: model.Call, content: bytes, now: float
    ) -> Result[model.Answer, model.Refusal]:
        """Send a request once; see ``request``."""
        max_idle_s = (
            MAX_IDLE_S if call.idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        )
        connection = self.take_idle(now, max_idle_s, call.span_id)
        if connection is None:
            try:
                connection = await self.connect(call.deadline)
            except (OSError, TimeoutError) as error:
                return call_refusal.refuse(
                    call,
                    model.Verdict.NOT_RUN,
                    model.Rule.CONNECTION_REFUSED,
                    'the upstream cannot be reached: %r' % error,
                )
        refusal = self.check_start(call)
        if refusal is not None:
            self.release(connection)
            return Error(refusal)
        done = False
        sent_at = self.loop.time()
        waiter = None
        try:
            waiter = self.send(connection, call, content, sent_at)
            answer = await waiter
            done = True
        except transport.ConnectionCutError as error:
            return call_refusal.refuse(
                call,
                model.Verdict.MAY_HAVE_RUN,
                model.Rule.UPSTREAM_CUT,
                str(error),
            )
        except TimeoutError:
            self.discard_idle(sent_at)
            return call_refusal.refuse(
                call,
                model.Verdict.MAY_HAVE_RUN,
                model.Rule.UPSTREAM_TIMEOUT,
                'the upstream did not answer before the deadline',
            )
        finally:
            self.deadlines.remove(waiter)
            connection.stop_counting()
            # An error in the future refers to this frame and its request.
            # Without the cycle both are freed at once.
            del waiter
            self.record_latency(self.loop.time() - sent_at)
            if done:
                self.release(connection)
            else:
                # Upstreams abandon a request whose connection closes.
                connection.abort()
        self.on_answer(answer.metadata)
        return upstream_messages.interpret_answer(call, answer)

    def send(
        self,
        connection: transport.ResponseConnection,
        call: model.Call,
        content: bytes,
        now: float,
    ) -> asyncio.Future[transport.RawAnswer]:
        """Send a request on a connection.

        Returns:
            A future of the answer. It raises ``ConnectionCutError`` if the
            connection ends first, and ``TimeoutError`` at the deadline.
        """
        call.started = True
        left_s = max(0.0, call.deadline - now)
        head = upstream_messages.build_head(
            call, content, left_s, self.dialect, self.upstream
        )
        waiter = connection.request(
            [head, content] if content else [head],
            call.span_id,
            head_only=call.method == 'HEAD',
        )
        # The answer to a non-idempotent call is still useful shortly after
        # the deadline, since the call has started; an idempotent call can be
        # repeated and is cancelled at the deadline.
        grace_s = 0.0 if call.idempotent else ANSWER_GRACE_S
        self.deadlines.add(waiter, now + left_s + grace_s)
        return waiter

    async def close(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.idle.pop().transport.close()


def expire(waiter: asyncio.Future) -> None:
    """Fail the wait for an answer with ``TimeoutError``."""
    if not waiter.done():
        waiter.set_exception(TimeoutError())
