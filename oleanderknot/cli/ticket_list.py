"""The ``ticket list`` command."""

import json

from cleo.helpers import option
from expression import Result

from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.cli import ticket_command
from oleanderknot.cli import ticket_options

MAX_COUNT = 1000


class TicketListCommand(ticket_command.TicketCommand):
    """Lists the newest tickets."""

    name = 'ticket list'
    description = 'List the newest tickets'
    options = [
        ticket_options.TABLE,
        option(
            'count',
            description='Maximum number of tickets',
            flag=False,
            default='20',
        ),
        ticket_options.OUTPUT,
    ]
    help = """Lists the most recent tickets, newest last.

Example:

    oleanderknot ticket list --count 50 --table http://10.0.0.5:8080"""

    def carry_out(self) -> int:
        """See the base class."""
        as_json = ticket_options.check_output(self)
        url = ticket_options.check_table(self)
        count = min(
            MAX_COUNT, ticket_options.check_number(self.option('count'))
        )
        try:
            result = ticket_options.run_with_table(
                url, lambda table: read_newest(table, count)
            )
            if result.is_error():
                raise ticket_options.FailedError(
                    'Cannot read the tickets: %s' % result.error.detail
                )
            found = [border.ticket_rows.parse_ticket(row) for row in result.ok]
        except ValueError as error:
            raise ticket_options.FailedError(str(error)) from error
        if as_json:
            dumped = [ticket_options.dump_ticket(item) for item in found]
            print(json.dumps(dumped))
        else:
            print(
                '\n'.join(ticket_options.summarise(item) for item in found)
                or 'No ticket is filed; the built-in policy is in force.'
            )
        return 0


async def read_newest(
    table: platform.TableClient, count: int
) -> Result[list[model.TableRow], model.PlatformFault]:
    """Read the rows of the newest tickets."""
    rows = await table.read([border.ticket_rows.HEAD_KEY])
    if rows.is_error():
        return rows
    newest = border.ticket_rows.parse_head(rows.ok[0]).number
    return await table.scan(
        border.ticket_rows.TICKET_PREFIX,
        after=border.ticket_rows.format_ticket_key(max(0, newest - count)),
        limit=count,
    )
