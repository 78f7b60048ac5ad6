"""The ``ticket status`` command."""

import asyncio
import json
import sys

from cleo.helpers import argument
from cleo.helpers import option

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.cli import common_options
from oleanderknot.cli import node_query
from oleanderknot.cli import operator_command


class TicketStatusCommand(operator_command.OperatorCommand):
    """Shows on which nodes of all data centres a ticket is in force."""

    name = 'ticket status'
    description = 'Show where a ticket is in force'
    arguments = [argument('number', description='Number of the ticket')]
    options = [
        option('node', description='Operator address of a node', flag=False),
        common_options.TABLE,
        common_options.OUTPUT,
    ]
    help = """Queries the nodes of all data centres and shows where a ticket \
is in force, where it is not yet, and which nodes could not be queried.
Any node can be given; its member list supplies the others. With --table, \
a ticket also counts as in force where later tickets have replaced it.
The exit code is 0 if it is in force on all nodes that could be queried.

Example:

    oleanderknot ticket status 12 --node 10.0.1.4:7003"""

    def run_operation(self) -> int:
        """See the base class."""
        as_json = common_options.wants_json(self)
        url = common_options.parse_table_url(self, required=False)
        number = common_options.parse_positive_int(self.argument('number'))
        address = common_options.parse_node_address(self.option('node'))
        scopes = read_scopes(url, number) if url else ()
        policies = asyncio.run(node_query.query_all_nodes(address))
        if policies.is_error():
            raise common_options.OperationError(
                'Cannot query the node at %s: %s' % (address, policies.error)
            )
        centres = decisions.group_by_data_centre(number, scopes, policies.ok)
        in_force = not any(centre.not_yet for centre in centres.values())
        if as_json:
            print(json.dumps(dump(number, in_force, centres)))
        else:
            print(describe(number, centres))
        return int(not in_force)


def read_scopes(url: str, number: int) -> tuple[str, ...]:
    """Read the scopes of a ticket; empty if the table cannot be read.

    Raises:
        OperationError: The ticket does not exist.
    """
    key = border.ticket_rows.format_ticket_key(number)
    rows = common_options.run_with_table(url, lambda table: table.read([key]))
    if rows.is_error():
        print(
            'Continuing without the table: %s' % rows.error.detail,
            file=sys.stderr,
        )
        return ()
    try:
        ticket = border.ticket_rows.parse_ticket(rows.ok[0])
    except ValueError as error:
        raise common_options.OperationError(str(error)) from error
    if ticket is None:
        raise common_options.OperationError('There is no ticket %d.' % number)
    return tuple(state.scope for state in ticket.scopes)


def describe(
    number: int, centres: dict[str, model.DataCentreTicketStatus]
) -> str:
    """Format the rollout status of a ticket, by data centre."""
    lines = []
    for name, centre in centres.items():
        queried = len(centre.in_force) + len(centre.not_yet)
        if not queried:
            lines.append('%s: no node could be asked' % name)
        elif centre.not_yet:
            lines.append(
                '%s: ticket %d is not yet in force on %d of %d nodes asked: %s'
                % (
                    name,
                    number,
                    len(centre.not_yet),
                    queried,
                    ', '.join(centre.not_yet),
                )
            )
        else:
            lines.append(
                '%s: ticket %d is in force on all %d nodes asked'
                % (name, number, queried)
            )
        lines += [
            '  %s could not be asked: %s' % (item.instance, item.fault)
            for item in centre.not_asked
        ]
    return '\n'.join(lines)


def dump(
    number: int,
    in_force: bool,
    centres: dict[str, model.DataCentreTicketStatus],
) -> dict[str, object]:
    """Convert the status to JSON-serialisable values."""
    return {
        'ticket': number,
        'in_force': in_force,
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
