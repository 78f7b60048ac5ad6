"""HTTP client of the platform's table service."""

import collections.abc

from expression import Error
from expression import Ok
from expression import Result
import pydantic

from oleanderknot import model
from oleanderknot.platform import bounded_number
from oleanderknot.platform import http_client
from oleanderknot.platform import lenient_model


class Row(lenient_model.LenientModel):
    """A row of the table; see ``model.TableRow``."""

    key: str
    version: bounded_number.Version
    value: str


class Rows(lenient_model.LenientModel):
    """Rows of a response."""

    rows: tuple[Row, ...]


class TableClient:
    """Reads rows of the table service and commits transactions.

    Attributes:
        http: Client for the requests.
    """

    def __init__(
        self, *, url: str, timeout_s: float, local_host: str | None = None
    ) -> None:
        self.http = http_client.HttpClient(
            url=url, timeout_s=timeout_s, local_host=local_host
        )

    async def read(
        self, keys: collections.abc.Sequence[str]
    ) -> Result[list[model.TableRow], model.PlatformFault]:
        """Read rows by key.

        Args:
            keys: Keys, at most 100.

        Returns:
            A row for each key, in order; an absent row has version 0.
        """
        result = await self.http.post('/read', {'keys': list(keys)})
        return result.bind(parse_rows).bind(
            lambda rows: check_keys(keys, rows)
        )

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 100
    ) -> Result[list[model.TableRow], model.PlatformFault]:
        """Read the rows whose keys start with a prefix, in key order.

        Args:
            prefix: Prefix of the keys.
            after: Only keys greater than this one.
            limit: Largest number of rows, at most 1000.

        Returns:
            The rows.
        """
        query = {'prefix': prefix, 'after': after, 'limit': limit}
        result = await self.http.post('/scan', query)
        return result.bind(parse_rows)

    async def commit(
        self,
        checks: collections.abc.Mapping[str, int],
        writes: collections.abc.Mapping[str, str],
    ) -> Result[None, model.PlatformFault]:
        """Write rows in one transaction if all version checks hold.

        Args:
            checks: Required version by key; 0 for an absent row.
            writes: New value by key.

        Returns:
            None, or the fault: after ``CONFLICT`` and ``NOT_SENT`` nothing
            was written, after ``UNKNOWN`` the rows may have been written.
        """
        result = await self.http.post(
            '/commit', {'checks': dict(checks), 'writes': dict(writes)}
        )
        return result.map(lambda content: None)

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()


def check_keys(
    keys: collections.abc.Sequence[str], rows: list[model.TableRow]
) -> Result[list[model.TableRow], model.PlatformFault]:
    """Return the rows if their keys are the requested ones."""
    if [row.key for row in rows] == list(keys):
        return Ok(rows)
    return Error(
        model.PlatformFault(
            kind=model.FaultKind.UNKNOWN,
            detail='the table service returned other rows than requested',
        )
    )


def parse_rows(
    content: bytes,
) -> Result[list[model.TableRow], model.PlatformFault]:
    """Parse the rows of a response."""
    try:
        return Ok(
            [
                model.TableRow(
                    key=row.key, version=row.version, value=row.value
                )
                for row in Rows.model_validate_json(content).rows
            ]
        )
    except pydantic.ValidationError as error:
        return Error(
            model.PlatformFault(
                kind=model.FaultKind.UNKNOWN,
                detail='malformed rows from the table service: %s' % error,
            )
        )
