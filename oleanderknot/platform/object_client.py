"""HTTP client of the platform's object store."""

import urllib.parse

from expression import Error
from expression import Ok
from expression import Result
import pydantic

from oleanderknot import model
from oleanderknot.platform import http_client
from oleanderknot.platform import lenient_model


class Keys(lenient_model.LenientModel):
    """Keys of a response."""

    keys: tuple[str, ...]


class ObjectClient:
    """Reads, writes and lists objects of the object store.

    Attributes:
        http: Client for the requests.
    """

    def __init__(
        self, *, url: str, timeout_s: float, local_host: str | None = None
    ) -> None:
        self.http = http_client.HttpClient(
            url=url, timeout_s=timeout_s, local_host=local_host
        )

    async def put(
        self, key: str, content: bytes
    ) -> Result[None, model.PlatformFault]:
        """Write an object; repeating a write with equal content is safe."""
        path = '/objects/' + urllib.parse.quote(key)
        result = await self.http.request('PUT', path, data=content)
        return result.map(lambda answer: None)

    async def get(self, key: str) -> Result[bytes, model.PlatformFault]:
        """Read an object; an absent object is reported as a fault."""
        path = '/objects/' + urllib.parse.quote(key)
        return await self.http.request('GET', path)

    async def list_keys(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> Result[list[str], model.PlatformFault]:
        """List the keys that start with a prefix, in order.

        Args:
            prefix: Prefix of the keys.
            after: Only keys greater than this one.
            limit: Largest number of keys.

        Returns:
            The keys.
        """
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit}
        )
        result = await self.http.request('GET', '/objects?' + query)
        return result.bind(parse_keys)

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()


def parse_keys(content: bytes) -> Result[list[str], model.PlatformFault]:
    """Parse the keys of a response."""
    try:
        return Ok(list(Keys.model_validate_json(content).keys))
    except pydantic.ValidationError as error:
        return Error(
            model.PlatformFault(
                kind=model.FaultKind.UNKNOWN,
                detail='malformed keys from the object store: %s' % error,
            )
        )
