"""Reads account batches from the object store."""

import asyncio

from expression import Ok
from expression import Result

from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform

MAX_CONCURRENT_READS = 16
PAGE_SIZE = 1000
DAY_S = 86400


def list_days(since: float, until: float) -> list[str]:
    """Return the UTC days of a time range, formatted as in object keys."""
    days = {border.format_day(until)}
    while since < until:
        days.add(border.format_day(since))
        since += DAY_S
    return sorted(days)


async def list_keys(
    client: platform.ObjectClient, prefix: str
) -> Result[list[str], model.PlatformFault]:
    """List all object keys with a prefix, page by page."""
    keys: list[str] = []
    while True:
        page = await client.list_keys(
            prefix, after=keys[-1] if keys else '', limit=PAGE_SIZE
        )
        if page.is_error():
            return page
        keys += page.ok
        if len(page.ok) < PAGE_SIZE:
            return Ok(keys)


async def read_batches(
    client: platform.ObjectClient,
    *,
    since: float,
    until: float,
    data_centre: str = '',
) -> Result[tuple[list[model.AccountBatch], int], model.PlatformFault]:
    """Read the account batches of a time range.

    Args:
        client: Client of the object store.
        since: Start of the range as a Unix timestamp.
        until: End of the range as a Unix timestamp.
        data_centre: Only batches of this data centre; empty for all.

    Returns:
        The batches and the number of batches that could not be read or
        parsed, or the fault if listing the keys failed.
    """
    keys: list[str] = []
    for day in list_days(since, until):
        prefix = '%s/%s/' % (border.ACCOUNT_PREFIX, day)
        if data_centre:
            prefix += data_centre + '/'
        listed = await list_keys(client, prefix)
        if listed.is_error():
            return listed
        keys += listed.ok
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def read_batch(key: str) -> model.AccountBatch | None:
        async with semaphore:
            content = await client.get(key)
        if content.is_error():
            return None
        try:
            return border.parse_batch(content.ok)
        except ValueError:
            return None

    results = await asyncio.gather(*(read_batch(key) for key in keys))
    batches = [item for item in results if item is not None]
    return Ok((batches, len(results) - len(batches)))
