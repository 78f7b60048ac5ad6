"""HTTP client that the clients of the platform's services share."""

import asyncio
import collections.abc
import json as json_format
import ssl
import typing
import urllib.parse

from expression import Error
from expression import Ok
from expression import Result

from oleanderknot import model
from oleanderknot import transport

# Fault kind by response status; 429 and 503 mean that nothing was executed.
FAULT_KIND_BY_STATUS = {
    409: model.FaultKind.CONFLICT,
    410: model.FaultKind.HISTORY_LOST,
    412: model.FaultKind.CONFLICT,
    429: model.FaultKind.NOT_SENT,
    503: model.FaultKind.NOT_SENT,
}

# Largest part of a response body that is quoted in a fault.
MAX_DETAIL_BYTES = 200

# Largest number of requests in progress to one service.
MAX_CONCURRENT_REQUESTS = 16

# Time after which an idle connection is not reused.
MAX_IDLE_S = 15.0


class HttpClient:
    """Sends requests to one service of the platform.

    A request that times out closes its connection, and all idle ones that
    have not answered since it was sent: whatever made one connection
    unresponsive, such as a lost state in a middlebox, may hold for the others.

    Attributes:
        url: Base URL of the service.
        timeout_s: Default time for a request and its response, in seconds.
        local_host: IP address that connections are opened from; None for
            any.
        idle: Connections without a request, the most recently used last.
        budget: Bounds the memory of incomplete responses.
    """

    def __init__(
        self, *, url: str, timeout_s: float, local_host: str | None = None
    ) -> None:
        self.url = url.rstrip('/')
        self.timeout_s = timeout_s
        self.local_host = local_host
        self.parts = urllib.parse.urlsplit(self.url)
        self.idle: list[transport.ResponseConnection] = []
        self.budget = transport.ReceiveBudget()
        self.slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def request(
        self, method: str, path: str, **arguments: typing.Any
    ) -> Result[bytes, model.PlatformFault]:
        """Send a request and return the body of its response."""
        result = await self.fetch(method, path, **arguments)
        return result.map(lambda answer: answer.content)

    async def fetch(
        self,
        method: str,
        path: str,
        *,
        params: collections.abc.Mapping[str, str] | None = None,
        json: object = None,
        data: bytes = b'',
        timeout_s: float | None = None,
        repeatable: bool = True,
    ) -> Result[transport.RawAnswer, model.PlatformFault]:
        """Send a request.

        Args:
            method: HTTP method.
            path: Path below the base URL.
            params: Query parameters.
            json: Value to send as JSON; None to send ``data``.
            data: Body to send.
            timeout_s: Time for the request; None for the default.
            repeatable: Whether a GET request is sent once more, on a new
                connection, when a kept one ended.

        Returns:
            The response with its headers, or the fault.
        """
        if params:
            path = '%s?%s' % (path, urllib.parse.urlencode(params))
        content_type = b'application/octet-stream'
        if json is not None:
            data = json_format.dumps(json).encode()
            content_type = b'application/json'
        head = self.build_head(method, path, content_type, len(data))
        if timeout_s is None:
            timeout_s = self.timeout_s
        started = asyncio.get_running_loop().time()
        try:
            # Requests that wait for others are bounded by the same time.
            async with asyncio.timeout(timeout_s), self.slots:
                result = await self.exchange(
                    head + data, repeatable=repeatable and method == 'GET'
                )
        except TimeoutError:
            self.discard_idle(started)
            return build_error(
                model.FaultKind.UNKNOWN,
                'no response from %s within %.1f s' % (self.url, timeout_s),
            )
        return result.bind(self.interpret_answer)

    def build_head(
        self, method: str, path: str, content_type: bytes, size: int
    ) -> bytes:
        """Build the head of a request."""
        lines = [
            b'%b %b HTTP/1.1'
            % (method.encode(), (self.parts.path + path).encode()),
            b'Host: ' + self.parts.netloc.encode(),
            b'Accept: */*',
        ]
        if size or method != 'GET':
            lines.append(b'Content-Type: ' + content_type)
            lines.append(b'Content-Length: %d' % size)
        return b'\r\n'.join(lines) + b'\r\n\r\n'

    async def exchange(
        self, data: bytes, *, repeatable: bool
    ) -> Result[transport.RawAnswer, model.PlatformFault]:
        """Send a request and wait for its response.

        A repeatable request is sent once more on a new connection if a
        reused one ended, since servers close idle connections.
        """
        while True:
            connection = self.take_idle(asyncio.get_running_loop().time())
            reused = connection is not None
            if connection is None:
                try:
                    connection = await self.connect()
                except OSError as error:
                    return build_error(
                        model.FaultKind.NOT_SENT,
                        'cannot connect to %s: %r' % (self.url, error),
                    )
            done = False
            try:
                answer = await connection.request([data], '')
                connection.stop_counting()
                done = True
                return Ok(answer)
            except transport.ConnectionCutError as error:
                if not (reused and repeatable):
                    return build_error(
                        model.FaultKind.UNKNOWN,
                        'no response from %s: %s' % (self.url, error),
                    )
            finally:
                if done and connection.reusable and not connection.closed:
                    self.idle.append(connection)
                else:
                    connection.abort()

    async def connect(self) -> transport.ResponseConnection:
        """Open a connection.

        Raises:
            OSError: The service cannot be reached.
        """
        secure = self.parts.scheme == 'https'
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: transport.ResponseConnection(
                decode_headers=decode_headers, budget=self.budget
            ),
            self.parts.hostname,
            self.parts.port or (443 if secure else 80),
            ssl=ssl.create_default_context() if secure else None,
            local_addr=self.local_host and (self.local_host, 0),
        )
        return connection

    def is_connected(self) -> bool:
        """Return whether the next request can use a kept connection."""
        now = asyncio.get_running_loop().time()
        return any(item.is_usable(now, MAX_IDLE_S) for item in self.idle)

    def take_idle(self, now: float) -> transport.ResponseConnection | None:
        """Take the most recently used idle connection that is usable."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable(now, MAX_IDLE_S):
                return connection
            connection.abort()
        return None

    def discard_idle(self, since: float) -> None:
        """Close the idle connections that have not answered since a time.

        Args:
            since: Loop time in seconds.
        """
        kept = [item for item in self.idle if item.idle_since > since]
        for connection in self.idle:
            if connection.idle_since <= since:
                connection.abort()
        self.idle = kept

    def interpret_answer(
        self, answer: transport.RawAnswer
    ) -> Result[transport.RawAnswer, model.PlatformFault]:
        """Return a successful response, or the fault of its status."""
        if answer.status < 400:
            return Ok(answer)
        return build_error(
            FAULT_KIND_BY_STATUS.get(answer.status, model.FaultKind.UNKNOWN),
            '%s returned status %d: %s'
            % (self.url, answer.status, answer.content[:MAX_DETAIL_BYTES]),
        )

    async def post(
        self, path: str, value: object
    ) -> Result[bytes, model.PlatformFault]:
        """Post a JSON value; see ``request``."""
        return await self.request('POST', path, json=value)

    async def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().transport.close()


def decode_headers(headers: model.Headers) -> model.ResponseMetadata:
    """Build the metadata of a response, of which only the headers are used."""
    return model.ResponseMetadata(
        request_id='',
        signed=False,
        not_run=False,
        upstream='',
        encoded=False,
        idle_timeout_s=None,
        headers=headers,
    )


def build_error(
    kind: model.FaultKind, detail: str
) -> Result[typing.Any, model.PlatformFault]:
    """Build an error result from a fault."""
    return Error(model.PlatformFault(kind=kind, detail=detail))
