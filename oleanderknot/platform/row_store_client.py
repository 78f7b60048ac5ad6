"""Client of the platform's metadata store."""

import base64
import collections.abc
import time
import typing

from expression import Error
from expression import Ok
from expression import Result
import pydantic

from oleanderknot import model
from oleanderknot import transport
from oleanderknot.platform import bounded_number
from oleanderknot.platform import duration
from oleanderknot.platform import http_client
from oleanderknot.platform import lenient_model

# Time that the response of a feed may take beyond the requested wait.
FEED_TIMEOUT_MARGIN_S = 1.5

# Header of all responses with the epoch of the store, in lower case.
EPOCH_HEADER = b'store-era'

# A longer epoch is ignored.
MAX_EPOCH_DIGITS = 18

# Called with the name of a call and the seconds until its response or fault.
MeasureFunction = collections.abc.Callable[[str, float], None]


class Row(lenient_model.LenientModel):
    """A row of the store.

    Attributes:
        key: Key within the table and part.
        value: Content in base64; absent when the row was deleted.
        rowVersion: Version of the transaction that wrote the row.
        deleted: Whether the row was deleted.
    """

    key: str
    value: str = ''
    rowVersion: bounded_number.Version = 0  # noqa: N815
    deleted: bool = False


class Rows(lenient_model.LenientModel):
    """A consistent snapshot of rows.

    Attributes:
        rows: The rows.
        rowVersion: Newest version of the whole store in the snapshot.
        hasMore: Whether the range holds further rows.
        now: Time of the store's steady clock in seconds.
    """

    rows: tuple[Row, ...] = ()
    rowVersion: bounded_number.Version  # noqa: N815
    hasMore: bool = False  # noqa: N815
    now: duration.Duration | None = None


class RowStoreClient:
    """Reads and writes rows of one part of the store's tables.

    Attributes:
        http: Client for the requests.
        measure: Called with the duration of each call.
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
            limit: Largest number of rows.

        Returns:
            A consistent snapshot of the rows, or the fault.
        """
        query = {'table': table, 'part': '', 'limit': str(limit)}
        if start:
            query['from'] = start
        result = await self.send('read', 'GET', '/v1/rows-get', params=query)
        return result.bind(parse_answer)

    async def follow(
        self, table: str, *, after: int, wait_s: float
    ) -> Result[model.RowBatch, model.PlatformFault]:
        """Wait for changes of a table.

        Args:
            table: Name of the table.
            after: Version after which changes are returned.
            wait_s: Longest wait in seconds.

        Returns:
            The changed rows, possibly none; the fault ``HISTORY_LOST`` when
            the store no longer knows the changes since ``after``.
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
            timeout_s=wait_s + FEED_TIMEOUT_MARGIN_S,
            # The store may have returned from a copy since the connection
            # ended, so the caller must check whether its position holds.
            repeatable=False,
        )
        return result.bind(parse_answer)

    async def commit(
        self,
        table: str,
        *,
        put: collections.abc.Mapping[str, str] | None = None,
        remove: collections.abc.Iterable[str] = (),
    ) -> Result[None, model.PlatformFault]:
        """Change rows of a table in one transaction.

        The change has no condition on row versions, since a store that
        returned from a copy gives them out again.

        Args:
            table: Name of the table.
            put: New value by key.
            remove: Keys of rows to delete.

        Returns:
            None, or the fault: after ``NOT_SENT`` nothing was written, after
            ``UNKNOWN`` the change may have been made, or may still be made
            seconds later.
        """
        location = {'table': table, 'part': ''}
        result = await self.send(
            'commit',
            'POST',
            '/v1/rows-tx',
            json={
                'expected': [],
                'put': [
                    {
                        **location,
                        'key': key,
                        'value': base64.b64encode(value.encode()).decode(),
                    }
                    for key, value in (put or {}).items()
                ],
                'remove': [{**location, 'key': key} for key in remove],
            },
        )
        return result.map(lambda answer: None)

    async def send(
        self, name: str, method: str, path: str, **arguments: typing.Any
    ) -> Result[transport.RawAnswer, model.PlatformFault]:
        """Send a request and time it; see ``HttpClient.fetch``."""
        started = time.monotonic()
        result = await self.http.fetch(method, path, **arguments)
        self.measure(name, time.monotonic() - started)
        return result

    def is_connected(self) -> bool:
        """Return whether the next call can use a kept connection."""
        return self.http.is_connected()

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()


def parse_answer(
    answer: transport.RawAnswer,
) -> Result[model.RowBatch, model.PlatformFault]:
    """Parse the rows and the epoch of a response."""
    epoch = parse_epoch(answer.metadata.headers)
    return parse_rows(answer.content, epoch)


def parse_rows(
    content: bytes, epoch: int | None = None
) -> Result[model.RowBatch, model.PlatformFault]:
    """Parse the rows of a body and tag them with the epoch of the store."""
    try:
        rows = Rows.model_validate_json(content)
        return Ok(
            model.RowBatch(
                version=rows.rowVersion,
                has_more=rows.hasMore,
                clock_s=rows.now,
                epoch=epoch,
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


def parse_epoch(headers: model.Headers) -> int | None:
    """Return the epoch of the store, or None without a valid one."""
    for name, value in headers:
        if name.lower() == EPOCH_HEADER:
            # int() also accepts signs, spaces and underscores.
            is_number = value.isdigit() and len(value) <= MAX_EPOCH_DIGITS
            return int(value) if is_number else None
    return None


def build_row(row: Row) -> model.TableRow:
    """Convert a row; bytes that are not UTF-8 become U+FFFD.

    Raises:
        ValueError: The value is not valid base64.
    """
    content = b'' if row.deleted else base64.b64decode(row.value)
    return model.TableRow(
        key=row.key,
        version=row.rowVersion,
        value=content.decode(errors='replace'),
    )
