"""The ``ticket status`` command."""

import asyncio
import json
import sys

from cleo.helpers import argument
from cleo.helpers import option

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.cli import node_query
from oleanderknot.cli import ticket_command
from oleanderknot.cli import ticket_options


class TicketStatusCommand(ticket_command.TicketCommand):
    """Shows on which nodes of all data centres a ticket is in force."""

    name = 'ticket status'
    description = 'Show where a ticket is in force'
    arguments = [argument('number', description='Number of the ticket')]
    options = [
        option('node', description='Operator address of a node', flag=False),
        ticket_options.TABLE,
        ticket_options.OUTPUT,
    ]
    help = """Queries the nodes of all data centres and shows where a ticket \
is in force, where it is not yet, and which nodes could not be queried.
Any node can be given; its member list supplies the others. With --table, \
a ticket also counts as in force where later tickets have replaced it.
The exit code is 0 if it is in force on all nodes that could be queried.

Example:

    oleanderknot ticket status 12 --node 10.0.1.4:7003"""

    def carry_out(self) -> int:
        """See the base class."""
        as_json = ticket_options.check_output(self)
        url = ticket_options.check_table(self, needed=False)
        number = ticket_options.check_number(self.argument('number'))
        address = ticket_options.check_address(self.option('node'))
        scopes = read_scopes(url, number) if url else ()
        answers = asyncio.run(node_query.ask_all(address))
        if answers.is_error():
            raise ticket_options.FailedError(
                'Cannot query the node at %s: %s' % (address, answers.error)
            )
        centres = decisions.group_by_data_centre(number, scopes, answers.ok)
        reached = not any(centre.not_yet for centre in centres.values())
        if as_json:
            print(json.dumps(dump(number, reached, centres)))
        else:
            print(describe(number, centres))
        return int(not reached)


def read_scopes(url: str, number: int) -> tuple[str, ...]:
    """Read the scopes of a ticket; empty if the table cannot be read.

    Raises:
        FailedError: The ticket does not exist.
    """
    key = border.ticket_rows.format_ticket_key(number)
    rows = ticket_options.run_with_table(url, lambda table: table.read([key]))
    if rows.is_error():
        print(
            'Continuing without the table: %s' % rows.error.detail,
            file=sys.stderr,
        )
        return ()
    try:
        ticket = border.ticket_rows.parse_ticket(rows.ok[0])
    except ValueError as error:
        raise ticket_options.FailedError(str(error)) from error
    if ticket is None:
        raise ticket_options.FailedError('There is no ticket %d.' % number)
    return tuple(state.scope for state in ticket.scopes)


def describe(
    number: int, centres: dict[str, model.DataCentreTicketStatus]
) -> str:
    """Format the rollout status of a ticket, by data centre."""
    lines = []
    for name, centre in centres.items():
        asked = len(centre.in_force) + len(centre.not_yet)
        if not asked:
            lines.append('%s: no node could be asked' % name)
        elif centre.not_yet:
            lines.append(
                '%s: ticket %d is not yet in force on %d of %d nodes asked: %s'
                % (
                    name,
                    number,
                    len(centre.not_yet),
                    asked,
                    ', '.join(centre.not_yet),
                )
            )
        else:
            lines.append(
                '%s: ticket %d is in force on all %d nodes asked'
                % (name, number, asked)
            )
        lines += [
            '  %s could not be asked: %s' % (item.instance, item.fault)
            for item in centre.not_asked
        ]
    return '\n'.join(lines)


def dump(
    number: int,
    reached: bool,
    centres: dict[str, model.DataCentreTicketStatus],
) -> dict[str, object]:
    """Convert the status to JSON-serialisable values."""
    return {
        'ticket': number,
        'in_force': reached,
        'data_centres': {
            name: {
                'in_force': centre.in_force,
                'not_yet': centre.not_yet,
                'not_asked': {
                    item.instance: item.fault for item in centre.not_asked
                },
            }
            for name, centre in centres.items()
        },
    }
