"""Sends requests to the local upstream over HTTP."""

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
from oleanderknot import transport
from oleanderknot.tasks import call_refusal
from oleanderknot.tasks import notifying_body
from oleanderknot.tasks import response_body
from oleanderknot.tasks import send_window
from oleanderknot.tasks import upstream_session

# Minimum age of a session before it is replaced, since under overload many
# calls miss their deadlines.
MIN_SESSION_AGE_S = 1.0

# Event loop timers may fire early by up to this much, since times are rounded.
TIMER_TOLERANCE_S = 0.01


class UpstreamClient:
    """Owns the HTTP connections to the local upstream.

    Attributes:
        base_url: URL of the upstream, ``http://host:port``.
        slots: Maximum number of connections per session.
        session: Session that new requests use.
    """

    def __init__(self, *, host: str, port: int, slots: int) -> None:
        self.base_url = 'http://%s:%d' % (host, port)
        self.slots = slots
        self.session = upstream_session.UpstreamSession(slots=slots)

    def replace_session(
        self, session: upstream_session.UpstreamSession
    ) -> None:
        """Replace a session after one of its requests got no answer in time.

        HTTP does not distinguish a slow upstream from a silent connection.
        If idle connections have gone silent together, each of them would
        cost one more call, whereas a new connection costs 1 ms.

        Args:
            session: Session of the unanswered request.
        """
        age = asyncio.get_running_loop().time() - session.opened_at
        if session is self.session and age >= MIN_SESSION_AGE_S:
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
        """Send a request and wait for the start of the answer.

        Args:
            call: The call.
            content: First bytes of the request body.
            body: Rest of the request body, if it arrives in parts.
            now: Monotonic time in seconds.

        Returns:
            The answer of the upstream, or a refusal if there is none. An
            idempotent call is cancelled at its deadline; a non-idempotent
            one runs to its end, since cancelling could leave it half done.
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
        """Send a request on the current session; see ``request``."""
        session = self.session
        session.acquire()
        answered = False
        try:
            result = await self.send(session, call, content, body, now)
            answered = True
        except asyncio.CancelledError:
            # The wait is cancelled only at the deadline or when the caller
            # has disconnected.
            if time.monotonic() >= call.deadline - TIMER_TOLERANCE_S:
                self.replace_session(session)
            raise
        finally:
            if not answered or result.is_error() or not result.ok.body:
                session.release()
        if result.is_ok() and result.ok.body is not None:
            result.ok.body = notifying_body.NotifyingBody(
                body=result.ok.body, on_done=session.release
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
        """Send a request on the given session; see ``request``."""
        headers = build_headers(call, now)
        data = content if body is None else stream_body(content, body)
        try:
            response = await session.http.request(
                call.method,
                yarl.URL(self.base_url + call.path, encoded=True),
                headers=headers,
                data=data if call.has_body else None,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
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
        """Convert a response to an answer; a short body is read at once."""
        if not transport.MIN_STATUS <= response.status <= transport.MAX_STATUS:
            response.close()
            return call_refusal.refuse(
                call,
                model.Verdict.MAY_HAVE_RUN,
                model.Rule.UPSTREAM_CUT,
                'the answer has the invalid status %03d' % response.status,
            )
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

    The span id is that of this hop if it is recorded, else the caller's. A
    request without a span id gets a random one, since zeros are not valid.
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


async def stream_body(
    content: bytes, body: model.Body
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the parts of a request body for the HTTP client."""
    if content:
        yield content
    while data := await body.read():
        yield data
