"""The ``alert list`` command."""

import json

from cleo.helpers import option

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.cli import alert_reader
from oleanderknot.cli import common_options
from oleanderknot.cli import operator_command
from oleanderknot.cli import platform_options


class AlertListCommand(operator_command.OperatorCommand):
    """Lists unacknowledged alerts, or all alerts."""

    name = 'alert list'
    description = 'List the alerts that are not acknowledged'
    options = [
        option('all', description='Include acknowledged alerts', flag=True),
        platform_options.SETTINGS,
        common_options.TABLE,
        common_options.OUTPUT,
    ]
    help = """Lists open alerts with their meaning and the recommended \
action. The alerts of all nodes of a data centre are in the platform's table.

Example:

    oleanderknot alert list --settings node.yaml"""

    def run_operation(self) -> int:
        """See the base class."""
        as_json = common_options.wants_json(self)
        addresses = platform_options.resolve_platform(self)
        url = platform_options.require_address(addresses.table_url, 'table')
        found = common_options.run_with_table(url, alert_reader.read_alerts)
        if found.is_error():
            raise common_options.OperationError(
                'Cannot read the alerts: %s' % found.error.detail
            )
        alerts = [
            item
            for item in found.ok
            if self.option('all') or not item.acknowledged_by
        ]
        if as_json:
            print(json.dumps([dump(item) for item in alerts]))
        else:
            for item in alerts:
                print(describe(item))
            if not alerts:
                print('No alert is open.')
        return 0


def describe(alert: model.Alert) -> str:
    """Format an alert as one line of text."""
    if alert.acknowledged_by:
        state = 'acknowledged by %s' % alert.acknowledged_by
    else:
        state = 'open' if alert.posted else 'open, not posted'
    return '%s  %s  %s  (%s)' % (
        alert.id,
        decisions.format_time(alert.at),
        decisions.summarise(alert),
        state,
    )


def dump(alert: model.Alert) -> dict[str, object]:
    """Convert an alert to JSON-serialisable values."""
    return {
        'id': alert.id,
        'kind': alert.kind.value,
        'subject': alert.subject,
        'instance': alert.by,
        'data_centre': alert.data_centre,
        'at': alert.at,
        'posted': alert.posted,
        'acknowledged_by': alert.acknowledged_by,
        'text': decisions.summarise(alert),
        'action': decisions.ALERT_TEXTS[alert.kind].action,
    }
