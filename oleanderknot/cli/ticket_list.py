"""The ``ticket list`` command."""

import json

from cleo.helpers import option
from expression import Result

from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.cli import common_options
from oleanderknot.cli import operator_command

MAX_COUNT = 1000


class TicketListCommand(operator_command.OperatorCommand):
    """Lists the newest tickets."""

    name = 'ticket list'
    description = 'List the newest tickets'
    options = [
        common_options.TABLE,
        option(
            'count',
            description='Maximum number of tickets',
            flag=False,
            default='20',
        ),
        common_options.OUTPUT,
    ]
    help = """Lists the most recent tickets, newest last.

Example:

    oleanderknot ticket list --count 50 --table http://10.0.0.5:8080"""

    def run_operation(self) -> int:
        """See the base class."""
        as_json = common_options.wants_json(self)
        url = common_options.parse_table_url(self)
        count = min(
            MAX_COUNT, common_options.parse_positive_int(self.option('count'))
        )
        try:
            result = common_options.run_with_table(
                url, lambda table: read_newest(table, count)
            )
            if result.is_error():
                raise common_options.OperationError(
                    'Cannot read the tickets: %s' % result.error.detail
                )
            tickets = [
                border.ticket_rows.parse_ticket(row) for row in result.ok
            ]
        except ValueError as error:
            raise common_options.OperationError(str(error)) from error
        if as_json:
            dumped = [common_options.dump_ticket(item) for item in tickets]
            print(json.dumps(dumped))
        else:
            print(
                '\n'.join(common_options.summarise(item) for item in tickets)
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
