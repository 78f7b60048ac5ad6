"""The ``ticket show`` command."""

import json

from cleo.helpers import argument
import yaml

from oleanderknot import border
from oleanderknot.cli import common_options
from oleanderknot.cli import operator_command


class TicketShowCommand(operator_command.OperatorCommand):
    """Shows all fields of a ticket."""

    name = 'ticket show'
    description = 'Show a ticket'
    arguments = [argument('number', description='Number of the ticket')]
    options = [common_options.TABLE, common_options.OUTPUT]
    help = """Shows who filed a ticket, when and why, and the complete state \
of each scope that it sets.

Example:

    oleanderknot ticket show 12 --table http://10.0.0.5:8080"""

    def run_operation(self) -> int:
        """See the base class."""
        as_json = common_options.wants_json(self)
        url = common_options.parse_table_url(self)
        number = common_options.parse_positive_int(self.argument('number'))
        key = border.ticket_rows.format_ticket_key(number)
        rows = common_options.run_with_table(
            url, lambda table: table.read([key])
        )
        if rows.is_error():
            raise common_options.OperationError(
                'Cannot read ticket %d: %s' % (number, rows.error.detail)
            )
        try:
            ticket = border.ticket_rows.parse_ticket(rows.ok[0])
        except ValueError as error:
            raise common_options.OperationError(str(error)) from error
        if ticket is None:
            raise common_options.OperationError(
                'There is no ticket %d.' % number
            )
        value = common_options.dump_ticket(ticket)
        if as_json:
            print(json.dumps(value))
        else:
            text = yaml.safe_dump(value, sort_keys=False, allow_unicode=True)
            print(text, end='')
        return 0
