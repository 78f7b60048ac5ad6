"""Reads alerts from the table service."""

from expression import Ok
from expression import Result

from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform

PAGE_SIZE = 500


async def read_alerts(
    table: platform.TableClient,
) -> Result[list[model.Alert], model.PlatformFault]:
    """Read all alerts, including acknowledged ones, oldest first.

    Malformed rows are skipped.
    """
    alerts: list[model.Alert] = []
    after = ''
    while True:
        page = await table.scan(
            border.ALERT_PREFIX, after=after, limit=PAGE_SIZE
        )
        if page.is_error():
            return page
        for row in page.ok:
            try:
                alerts.append(border.parse_alert(row.value))
            except ValueError:
                continue
        if len(page.ok) < PAGE_SIZE:
            return Ok(sorted(alerts, key=lambda item: item.at))
        after = page.ok[-1].key
