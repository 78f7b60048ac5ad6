"""Client of the platform's metadata store."""

import base64
import collections.abc
import time

import aiohttp
from expression import Error
from expression import Ok
from expression import Result
import pydantic

from oleanderknot import model
from oleanderknot.platform import http_client
from oleanderknot.platform import loose_model

# Time in seconds that a feed's answer may take beyond the wait asked for.
FEED_MARGIN_S = 1.5

# Takes the name of a call and the seconds until its answer or fault.
MeasureFunction = collections.abc.Callable[[str, float], None]


class Row(loose_model.LooseModel):
    """A row of the store.

    Attributes:
        key: Key within table and part.
        value: Content, as base64; missing when the row was dropped.
        rowVersion: Version of the transaction that wrote it.
        deleted: Whether the row was dropped.
    """

    key: str
    value: str = ''
    rowVersion: int = 0  # noqa: N815
    deleted: bool = False


class Rows(loose_model.LooseModel):
    """Rows as of one moment.

    Attributes:
        rows: The rows.
        rowVersion: Newest version of the whole store at that moment.
        hasMore: Whether the range holds more rows.
    """

    rows: tuple[Row, ...] = ()
    rowVersion: int  # noqa: N815
    hasMore: bool = False  # noqa: N815


class RowStore:
    """Reads and writes rows of one part of the store's tables.

    Attributes:
        http: HTTP side.
        measure: Takes the time of each call.
    """

    def __init__(
        self,
        *,
        url: str,
        timeout_s: float,
        local_host: str | None = None,
        measure: MeasureFunction = lambda name, seconds: None,
    ) -> None:
        self.measure = measure
        self.http = http_client.HttpClient(
            url=url, timeout_s=timeout_s, local_host=local_host
        )

    async def read(
        self, table: str, *, start: str = '', limit: int = 500
    ) -> Result[model.RowBatch, model.PlatformFault]:
        """Read rows of a table in key order.

        Args:
            table: Name of the table.
            start: First key.
            limit: Most rows.

        Returns:
            The rows as of one moment, or the fault.
        """
        query = {'table': table, 'part': '', 'limit': str(limit)}
        if start:
            query['from'] = start
        result = await self.send('read', 'GET', '/v1/rows-get', params=query)
        return result.bind(parse_rows)

    async def follow(
        self, table: str, *, after: int, wait_s: float
    ) -> Result[model.RowBatch, model.PlatformFault]:
        """Wait for changes of a table.

        Args:
            table: Name of the table.
            after: Version after which changes count.
            wait_s: Longest wait in seconds.

        Returns:
            The changed rows, perhaps none; ``HISTORY_LOST`` when changes
            since ``after`` are no longer known.
        """
        query = {
            'table': table,
            'after': str(after),
            'waitMs': str(int(wait_s * 1000)),
        }
        result = await self.send(
            'follow',
            'GET',
            '/v1/rows-feed',
            params=query,
            timeout=aiohttp.ClientTimeout(total=wait_s + FEED_MARGIN_S),
        )
        return result.bind(parse_rows)

    async def commit(
        self,
        table: str,
        *,
        expected: collections.abc.Mapping[str, int] | None = None,
        put: collections.abc.Mapping[str, str] | None = None,
        remove: collections.abc.Iterable[str] = (),
    ) -> Result[None, model.PlatformFault]:
        """Change rows of a table in one transaction.

        Args:
            table: Name of the table.
            expected: Version that each key must have; 0 for absent.
            put: New value by key.
            remove: Keys of rows to drop.

        Returns:
            Nothing, or the fault: after ``CONFLICT`` and ``NOT_SENT``
            nothing was written, after ``UNKNOWN`` it may have been, or may
            be seconds later.
        """
        place = {'table': table, 'part': ''}
        result = await self.send(
            'commit',
            'POST',
            '/v1/rows-tx',
            json={
                'expected': [
                    {**place, 'key': key, 'rowVersion': version}
                    for key, version in (expected or {}).items()
                ],
                'put': [
                    {
                        **place,
                        'key': key,
                        'value': base64.b64encode(value.encode()).decode(),
                    }
                    for key, value in (put or {}).items()
                ],
                'remove': [{**place, 'key': key} for key in remove],
            },
        )
        return result.map(lambda content: None)

    async def send(
        self, name: str, method: str, path: str, **arguments: object
    ) -> Result[bytes, model.PlatformFault]:
        """Send a request and measure it; see ``HttpClient.request``."""
        started = time.monotonic()
        result = await self.http.request(method, path, **arguments)
        self.measure(name, time.monotonic() - started)
        return result

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()


def parse_rows(
    content: bytes,
) -> Result[model.RowBatch, model.PlatformFault]:
    """Decode rows of the store."""
    try:
        rows = Rows.model_validate_json(content)
        return Ok(
            model.RowBatch(
                version=rows.rowVersion,
                has_more=rows.hasMore,
                rows=tuple(build_row(row) for row in rows.rows),
            )
        )
    except (pydantic.ValidationError, ValueError) as error:
        return Error(
            model.PlatformFault(
                kind=model.FaultKind.UNKNOWN,
                detail='malformed rows from the store: %s' % error,
            )
        )


def build_row(row: Row) -> model.TableRow:
    """Build a row of the product; bytes that are no text are marked.

    Raises:
        ValueError: The value is no base64.
    """
    content = b'' if row.deleted else base64.b64decode(row.value)
    return model.TableRow(
        key=row.key,
        version=row.rowVersion,
        value=content.decode(errors='replace'),
    )
