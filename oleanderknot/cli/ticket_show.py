"""The ``ticket show`` command."""

import json

from cleo.helpers import argument
import yaml

from oleanderknot import border
from oleanderknot.cli import ticket_command
from oleanderknot.cli import ticket_options


class TicketShowCommand(ticket_command.TicketCommand):
    """Shows all fields of a ticket."""

    name = 'ticket show'
    description = 'Show a ticket'
    arguments = [argument('number', description='Number of the ticket')]
    options = [ticket_options.TABLE, ticket_options.OUTPUT]
    help = """Shows who filed a ticket, when and why, and the complete state \
of each scope that it sets.

Example:

    oleanderknot ticket show 12 --table http://10.0.0.5:8080"""

    def carry_out(self) -> int:
        """See the base class."""
        as_json = ticket_options.check_output(self)
        url = ticket_options.check_table(self)
        number = ticket_options.check_number(self.argument('number'))
        key = border.ticket_rows.format_ticket_key(number)
        rows = ticket_options.run_with_table(
            url, lambda table: table.read([key])
        )
        if rows.is_error():
            raise ticket_options.FailedError(
                'Cannot read ticket %d: %s' % (number, rows.error.detail)
            )
        try:
            ticket = border.ticket_rows.parse_ticket(rows.ok[0])
        except ValueError as error:
            raise ticket_options.FailedError(str(error)) from error
        if ticket is None:
            raise ticket_options.FailedError('There is no ticket %d.' % number)
        value = ticket_options.dump_ticket(ticket)
        if as_json:
            print(json.dumps(value))
        else:
            text = yaml.safe_dump(value, sort_keys=False, allow_unicode=True)
            print(text, end='')
        return 0
