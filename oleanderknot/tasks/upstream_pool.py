"""Sends calls to the own upstream over kept connections."""

import asyncio
import collections
import collections.abc

from expression import Ok
from expression import Result

from oleanderknot import model
from oleanderknot.tasks import call_refusal
from oleanderknot.tasks import http_dialect
from oleanderknot.tasks import raw_answer
from oleanderknot.tasks import upstream_connection
from oleanderknot.tasks import upstream_cut

# The upstream is on the same machine: a connection that is not there after
# this time meets a full queue, and a lost SYN is sent again only after 1 s.
CONNECT_TIMEOUT_S = 0.5

# An upstream may forget idle connections; a request that meets a forgotten
# one is lost, so the ones that must not be lost use fresher connections.
IDLE_S = 4.0
IDLE_ONCE_S = 1.0

# Time after the deadline within which the upstream's own answer may arrive.
ANSWER_GRACE_S = 0.3

# Sends of one call that the upstream keeps turning away. With an upstream
# that turns away every second request, one call in 64 still fails.
MAX_SENDS = 6

HEADER = b'%b: %b\r\n'


class UpstreamPool:
    """Owns the connections to one start of the upstream.

    Attributes:
        host: IP address of the upstream.
        port: TCP port of the upstream.
        upstream: Id of this start of the upstream; empty when unknown.
        dialect: Reads and writes headers.
        may_repeat: Takes one repeat of a call that the upstream turned away
            from the budget, and returns whether there was one.
        measure: Takes the seconds from each send to its answer.
        idle: Connections without a request, the freshest last.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        upstream: str,
        dialect: http_dialect.HttpDialect,
        may_repeat: collections.abc.Callable[[model.Call], bool],
        measure: collections.abc.Callable[[float], None],
    ) -> None:
        self.measure = measure
        self.may_repeat = may_repeat
        self.host = host
        self.port = port
        self.upstream = upstream
        self.dialect = dialect
        self.loop = asyncio.get_running_loop()
        self.idle: collections.deque[
            upstream_connection.UpstreamConnection
        ] = collections.deque()
        self.opened = 0

    async def connect(
        self, deadline: float
    ) -> upstream_connection.UpstreamConnection:
        """Open a connection.

        Args:
            deadline: Loop time in seconds until which it may take.

        Raises:
            OSError: The upstream cannot be reached.
            TimeoutError: It did not answer in time.
        """
        self.opened += 1
        latest = min(deadline, self.loop.time() + CONNECT_TIMEOUT_S)
        async with asyncio.timeout_at(latest):
            _, connection = await self.loop.create_connection(
                lambda: upstream_connection.UpstreamConnection(
                    read=self.dialect.parse_response_headers
                ),
                self.host,
                self.port,
            )
        return connection

    def take(
        self, now: float, longest_idle_s: float
    ) -> upstream_connection.UpstreamConnection | None:
        """Take the freshest usable connection."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable(now, longest_idle_s):
                return connection
            connection.transport.close()
        return None

    def give_back(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        """Keep a connection for the next request, or end it."""
        if not connection.reusable or connection.closed:
            connection.transport.close()
            return
        self.idle.append(connection)
        oldest = self.idle[0]
        if not oldest.is_usable(self.loop.time(), IDLE_S):
            self.idle.popleft().transport.close()

    async def request(
        self,
        call: model.Call,
        content: bytes,
        body: model.Body | None,
        *,
        now: float,
    ) -> Result[model.Answer, model.Refusal]:
        """Send a request and wait for the whole answer.

        Args:
            call: The call.
            content: The whole request body.
            body: None; bodies are whole before a call is admitted.
            now: Monotonic time in seconds.

        Returns:
            The answer of the upstream, or a refusal that says whether the
            call may have run. A call that the upstream turned away is sent
            again while the budget of repeats lasts.
        """
        sends = 0
        while True:
            sends += 1
            result = await self.send_once(call, content, now)
            if (
                result.is_ok()
                or sends >= MAX_SENDS
                or result.error.rule is not model.Rule.UPSTREAM_REFUSED
                or self.loop.time() >= call.deadline
                or not self.may_repeat(call)
            ):
                return result

    async def send_once(
        self, call: model.Call, content: bytes, now: float
    ) -> Result[model.Answer, model.Refusal]:
        """Send a request once; see ``request``."""
        longest = IDLE_S if call.idempotent else IDLE_ONCE_S
        connection = self.take(now, longest)
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
        done = False
        try:
            answer = await self.send(connection, call, content)
            done = True
        except upstream_cut.UpstreamCut as error:
            return call_refusal.refuse(
                call,
                model.Verdict.MAY_HAVE_RUN,
                model.Rule.UPSTREAM_CUT,
                str(error),
            )
        except TimeoutError:
            return call_refusal.refuse(
                call,
                model.Verdict.MAY_HAVE_RUN,
                model.Rule.UPSTREAM_TIMEOUT,
                'the upstream did not answer before the deadline',
            )
        finally:
            if done:
                self.give_back(connection)
            else:
                # Upstreams drop a request whose connection closes.
                connection.abort()
        return self.judge(call, answer)

    async def send(
        self,
        connection: upstream_connection.UpstreamConnection,
        call: model.Call,
        content: bytes,
    ) -> raw_answer.RawAnswer:
        """Send a request on a connection and wait for the answer.

        Raises:
            UpstreamCut: The connection ended first.
            TimeoutError: The deadline passed first.
        """
        call.started = True
        sent_at = self.loop.time()
        left_s = max(0.0, call.deadline - sent_at)
        data = self.build_head(call, content, left_s) + content
        waiter = connection.request(
            data, call.span_id, head_only=call.method == 'HEAD'
        )
        # A non-idempotent call has been started and its answer is of use for
        # a little longer; one that may be repeated is broken off.
        grace_s = 0.0 if call.idempotent else ANSWER_GRACE_S
        timer = self.loop.call_later(left_s + grace_s, expire, waiter)
        try:
            return await waiter
        finally:
            timer.cancel()
            self.measure(self.loop.time() - sent_at)

    def build_head(
        self, call: model.Call, content: bytes, left_s: float
    ) -> bytes:
        """Build the head of a request to the upstream."""
        parts = [
            b'%b %b HTTP/1.1\r\n'
            % (call.method.encode(), call.path.encode('latin-1'))
        ]
        headers = self.dialect.add_upstream_headers(
            call.headers, left_s, self.upstream
        )
        parts.extend(HEADER % header for header in headers)
        if call.has_body:
            parts.append(b'Content-Length: %d\r\n' % len(content))
        parts.append(b'\r\n')
        return b''.join(parts)

    def judge(
        self, call: model.Call, answer: raw_answer.RawAnswer
    ) -> Result[model.Answer, model.Refusal]:
        """Decide what an answer says about the call."""
        facts = answer.metadata
        if facts.not_run:
            return call_refusal.refuse(
                call,
                model.Verdict.NOT_RUN,
                model.Rule.UPSTREAM_REFUSED,
                'the upstream answered %d and did not run the request'
                % answer.status,
            )
        if not facts.signed or facts.encoded:
            return call_refusal.refuse(
                call,
                model.Verdict.MAY_HAVE_RUN,
                model.Rule.UPSTREAM_CUT,
                'the upstream answered %d without its receipt' % answer.status,
            )
        return Ok(
            model.Answer(
                status=answer.status,
                headers=facts.headers,
                content=answer.content,
            )
        )

    async def close(self) -> None:
        """Close all connections without a request."""
        while self.idle:
            self.idle.pop().transport.close()


def expire(waiter: asyncio.Future) -> None:
    """End the wait for an answer."""
    if not waiter.done():
        waiter.set_exception(TimeoutError())
