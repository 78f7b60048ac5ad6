"""HTTP client that the clients of the platform's services share."""

import aiohttp
from expression import Error
from expression import Ok
from expression import Result

from oleanderknot import model

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


class HttpClient:
    """Sends requests to one service of the platform.

    A request that times out closes its connection, so that an unresponsive
    connection is not reused.

    Attributes:
        url: Base URL of the service.
        session: Session with the connection pool.
    """

    def __init__(
        self, *, url: str, timeout_s: float, local_host: str | None = None
    ) -> None:
        self.url = url.rstrip('/')
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=16, local_addr=local_host and (local_host, 0)
            ),
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        )

    async def request(
        self, method: str, path: str, **arguments: object
    ) -> Result[bytes, model.PlatformFault]:
        """Send a request.

        Args:
            method: HTTP method.
            path: Path below the base URL.
            arguments: Further keyword arguments of
                ``aiohttp.ClientSession.request``.

        Returns:
            The body of the response, or the fault.
        """
        try:
            async with self.session.request(
                method, self.url + path, **arguments
            ) as response:
                content = await response.read()
        except aiohttp.ClientConnectorError as error:
            return build_error(model.FaultKind.NOT_SENT, str(error))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return build_error(
                model.FaultKind.UNKNOWN,
                'no response from %s: %r' % (self.url, error),
            )
        if response.status >= 400:
            return build_error(
                FAULT_KIND_BY_STATUS.get(
                    response.status, model.FaultKind.UNKNOWN
                ),
                '%s returned status %d: %s'
                % (self.url, response.status, content[:MAX_DETAIL_BYTES]),
            )
        return Ok(content)

    async def post(
        self, path: str, value: object
    ) -> Result[bytes, model.PlatformFault]:
        """Post a JSON value; see ``request``."""
        return await self.request('POST', path, json=value)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def build_error(
    kind: model.FaultKind, detail: str
) -> Result[bytes, model.PlatformFault]:
    """Build an error result from a fault."""
    return Error(model.PlatformFault(kind=kind, detail=detail))
