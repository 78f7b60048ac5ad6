"""Sends requests to the own upstream over HTTP."""

import asyncio
import collections.abc
import random
import time

import aiohttp
from expression import Ok
from expression import Result
import yarl

from oleanderknot import border
from oleanderknot import model
from oleanderknot.tasks import call_refusal
from oleanderknot.tasks import notifying_body
from oleanderknot.tasks import response_body
from oleanderknot.tasks import send_window
from oleanderknot.tasks import upstream_session

# Under overload many calls miss their deadlines; the connections are then
# replaced no more often than this.
MIN_AGE_S = 1.0

# The event loop's timers may fire this much early, since it rounds times.
TIMER_S = 0.01


class UpstreamClient:
    """Owns the HTTP connections to the upstream of this node.

    Attributes:
        base: Address of the upstream, ``http://host:port``.
        slots: Connections at most.
        session: The connections that new requests use.
    """

    def __init__(self, *, host: str, port: int, slots: int) -> None:
        self.base = 'http://%s:%d' % (host, port)
        self.slots = slots
        self.session = upstream_session.UpstreamSession(slots=slots)

    def replace_silent(
        self, session: upstream_session.UpstreamSession
    ) -> None:
        """Use new connections after one has given no answer in time.

        HTTP cannot tell a slow upstream from a silent connection. If idle
        connections have gone silent together, each would cost one more
        call; a new connection costs a millisecond.

        Args:
            session: The connections that the unanswered request used.
        """
        age = asyncio.get_running_loop().time() - session.opened_at
        if session is self.session and age >= MIN_AGE_S:
            self.session = upstream_session.UpstreamSession(slots=self.slots)
            session.retire()

    async def request(
        self,
        call: model.Call,
        content: bytes,
        body: model.Body | None,
        *,
        now: float,
    ) -> Result[model.Answer, model.Refusal]:
        """Send a request and wait for the head of the answer.

        Args:
            call: The call.
            content: First bytes of the request body.
            body: Rest of the request body, if it arrives in parts.
            now: Monotonic time in seconds.

        Returns:
            The answer of the upstream, or a refusal when there is none. An
            idempotent call is cancelled at its deadline; another one runs to
            its end, since a cancelled one may have run half.
        """
        sending = self.send_on_session(call, content, body, now)
        if not call.idempotent:
            return await sending
        try:
            async with asyncio.timeout_at(call.deadline):
                return await sending
        except TimeoutError:
            return call_refusal.refuse(
                call,
                model.Verdict.MAY_HAVE_RUN,
                model.Rule.UPSTREAM_TIMEOUT,
                'the upstream did not answer before the deadline',
            )

    async def send_on_session(
        self,
        call: model.Call,
        content: bytes,
        body: model.Body | None,
        now: float,
    ) -> Result[model.Answer, model.Refusal]:
        """Send a request on the session in use; see ``request``."""
        session = self.session
        session.enter()
        answered = False
        try:
            result = await self.send(session, call, content, body, now)
            answered = True
        except asyncio.CancelledError:
            # Only the deadline or a caller that went away ends the wait.
            if time.monotonic() >= call.deadline - TIMER_S:
                self.replace_silent(session)
            raise
        finally:
            if not answered or result.is_error() or not result.ok.body:
                session.leave()
        if result.is_ok() and result.ok.body is not None:
            result.ok.body = notifying_body.NotifyingBody(
                body=result.ok.body, on_done=session.leave
            )
        return result

    async def send(
        self,
        session: upstream_session.UpstreamSession,
        call: model.Call,
        content: bytes,
        body: model.Body | None,
        now: float,
    ) -> Result[model.Answer, model.Refusal]:
        """Send a request on some connections; see ``request``."""
        headers = build_headers(call, now)
        data = content if body is None else stream(content, body)
        try:
            response = await session.http.request(
                call.method,
                yarl.URL(self.base + call.path, encoded=True),
                headers=headers,
                data=data if call.has_body else None,
                allow_redirects=False,
            )
        except aiohttp.ClientConnectorError as error:
            return call_refusal.refuse(
                call,
                model.Verdict.NOT_RUN,
                model.Rule.CONNECTION_REFUSED,
                'the upstream cannot be reached: %s' % error,
            )
        except model.IncompleteBodyError as error:
            return call_refusal.refuse(
                call, model.Verdict.MAY_HAVE_RUN, error.rule, str(error)
            )
        except (aiohttp.ClientError, OSError) as error:
            return call_refusal.refuse(
                call,
                model.Verdict.MAY_HAVE_RUN,
                model.Rule.UPSTREAM_CUT,
                'the upstream ended the connection: %s' % error,
            )
        return await self.read_answer(call, response)

    async def read_answer(
        self, call: model.Call, response: aiohttp.ClientResponse
    ) -> Result[model.Answer, model.Refusal]:
        """Make an answer of a response; a short body is read at once."""
        verdict = response.headers.get(border.headers.VERDICT)
        if response.status >= 400 and verdict == model.Verdict.NOT_RUN.value:
            response.release()
            return call_refusal.refuse(
                call,
                model.Verdict.NOT_RUN,
                model.Rule.UPSTREAM_REFUSED,
                'the upstream says that it did not run the request',
            )
        rest = response_body.ResponseBody(response=response)
        try:
            first = await rest.read_up_to(send_window.CHUNK_BYTES)
        except model.IncompleteBodyError as error:
            return call_refusal.refuse(
                call, model.Verdict.MAY_HAVE_RUN, error.rule, str(error)
            )
        return Ok(
            model.Answer(
                status=response.status,
                headers=border.headers.keep_end_to_end(response.raw_headers),
                content=first,
                body=None if rest.ended else rest,
            )
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.http.close()


def build_headers(call: model.Call, now: float) -> list[tuple[str, str]]:
    """Build the request headers for the upstream.

    The span id is that of this hop when it is recorded, else the caller's;
    a request without one gets a new one, since zeros are not valid.
    """
    headers = [
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in call.headers
    ]
    span_id = call.span_id
    if not span_id.strip('0'):
        span_id = '%016x' % random.getrandbits(64)
    headers.append(
        (
            border.headers.TRACEPARENT,
            border.headers.format_traceparent(
                call.trace_id, span_id, call.sampled
            ),
        )
    )
    remaining_ms = max(1, int((call.deadline - now) * 1000))
    headers.append((border.headers.DEADLINE, str(remaining_ms)))
    return headers


async def stream(
    content: bytes, body: model.Body
) -> collections.abc.AsyncIterator[bytes]:
    """Give the parts of a request body to the HTTP client."""
    if content:
        yield content
    while data := await body.read():
        yield data
