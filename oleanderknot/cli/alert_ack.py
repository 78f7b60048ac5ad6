"""The ``alert ack`` command."""

import dataclasses
import getpass
import time

from cleo.helpers import argument
from cleo.helpers import option
from expression import Ok
from expression import Result

from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.cli import common_options
from oleanderknot.cli import operator_command
from oleanderknot.cli import platform_options

# A node may update the same row concurrently, which makes the commit fail.
MAX_ATTEMPTS = 5


class AlertAckCommand(operator_command.OperatorCommand):
    """Acknowledges an alert, which removes it from the report."""

    name = 'alert ack'
    description = 'Acknowledge an alert'
    arguments = [argument('id', description='Id of the alert')]
    options = [
        option('by', description='Name of the operator', flag=False),
        platform_options.SETTINGS,
        common_options.TABLE,
    ]
    help = """Removes an alert from the report. It stays in the list of all \
alerts, with the name of the operator.

Example:

    oleanderknot alert ack member-dead.orders-2 --settings node.yaml"""

    def run_operation(self) -> int:
        """See the base class."""
        addresses = platform_options.resolve_platform(self)
        url = platform_options.require_address(addresses.table_url, 'table')
        alert_id = self.argument('id')
        operator = self.option('by') or getpass.getuser()
        result = common_options.run_with_table(
            url,
            lambda table: acknowledge(table, alert_id, operator, time.time()),
        )
        if result.is_error():
            raise common_options.OperationError(
                'Cannot acknowledge %s: %s' % (alert_id, result.error.detail)
            )
        if not result.ok:
            raise common_options.OperationError(
                'There is no alert %s.' % alert_id
            )
        print('%s is acknowledged by %s.' % (alert_id, result.ok))
        return 0


async def acknowledge(
    table: platform.TableClient, alert_id: str, operator: str, now: float
) -> Result[str, model.PlatformFault]:
    """Record in an alert's row which operator acknowledged it.

    Returns:
        The operator who acknowledged it first; empty if there is no such
        alert.
    """
    key = border.ALERT_PREFIX + alert_id
    for attempt in range(MAX_ATTEMPTS):
        rows = await table.read([key])
        if rows.is_error():
            return rows
        row = rows.ok[0]
        if not row.version:
            return Ok('')
        alert = border.parse_alert(row.value)
        if alert.acknowledged_by:
            return Ok(alert.acknowledged_by)
        value = border.dump_alert(
            dataclasses.replace(
                alert, acknowledged_by=operator, acknowledged_at=now
            )
        )
        result = await table.commit({key: row.version}, {key: value})
        if result.is_ok():
            return Ok(operator)
    return result.map(lambda _: '')
