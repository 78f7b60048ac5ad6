"""Options, validation and output shared by the commands."""

import asyncio
import collections.abc
import datetime
import re
import typing

from cleo.commands import command
from cleo.helpers import option

from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform

TABLE = option('table', description='Address of the table service', flag=False)
OUTPUT = option(
    'output', description='text or json', flag=False, default='text'
)

ADDRESS_PATTERN = re.compile(r'[^\s/]+:[0-9]{1,5}')

T = typing.TypeVar('T')


class UsageError(Exception):
    """The command line or an input file is invalid."""


class OperationError(Exception):
    """The operation failed."""


def wants_json(cmd: command.Command) -> bool:
    """Return whether the output format of a command is JSON.

    Raises:
        UsageError: The option is neither text nor json.
    """
    value = cmd.option('output')
    if value not in ('text', 'json'):
        raise UsageError('--output: found %r, allowed: text or json' % value)
    return value == 'json'


def parse_table_url(cmd: command.Command, *, required: bool = True) -> str:
    """Return the table service URL; empty if optional and not given.

    Raises:
        UsageError: The address is missing or not an HTTP URL.
    """
    value = cmd.option('table') or ''
    if not value and not required:
        return ''
    if not value.startswith(('http://', 'https://')):
        raise UsageError(
            '--table: found %s, allowed: the address of the table service, '
            'such as http://10.0.0.5:8080' % (repr(value) if value else '-')
        )
    return value


def parse_positive_int(text: str) -> int:
    """Parse a positive integer, such as a ticket number.

    Raises:
        UsageError: The text is not an integer of at least 1.
    """
    if not text.isascii() or not text.isdigit() or not 0 < len(text) <= 12:
        raise UsageError(
            'number: found %r, allowed: the number of a ticket from 1' % text
        )
    if int(text) == 0:
        raise UsageError('number: found 0, tickets start with 1')
    return int(text)


def parse_node_address(text: str | None) -> str:
    """Validate the ``host:port`` of a node's operator port.

    Raises:
        UsageError: The text is missing or has no port.
    """
    if not text or ADDRESS_PATTERN.fullmatch(text) is None:
        raise UsageError(
            '--node: found %s, allowed: host:port of the operator port of '
            'any node' % (repr(text) if text else 'nothing')
        )
    return text


def run_with_table(
    url: str,
    function: collections.abc.Callable[
        [platform.TableClient], collections.abc.Awaitable[T]
    ],
) -> T:
    """Run a coroutine function with a table service client, then close it."""

    async def run() -> T:
        table = platform.TableClient(
            url=url, timeout_s=platform.ticket_filing.TABLE_TIMEOUT_S
        )
        try:
            return await function(table)
        finally:
            await table.close()

    return asyncio.run(run())


def dump_ticket(ticket: model.Ticket) -> dict[str, object]:
    """Convert a ticket to JSON-serialisable values."""
    return {
        'number': ticket.number,
        'id': ticket.id,
        'author': ticket.author,
        'reason': ticket.reason,
        'filed_at': format_time(ticket.filed_at),
        'scopes': {
            state.scope: border.dump_policy(state.policy)
            for state in ticket.scopes
        },
    }


def format_time(epoch: float) -> str:
    """Format a Unix timestamp as a UTC date and time."""
    moment = datetime.datetime.fromtimestamp(epoch, datetime.timezone.utc)
    return moment.strftime('%Y-%m-%d %H:%M:%S UTC')


def summarise(ticket: model.Ticket) -> str:
    """Format a ticket as one line of text."""
    return '%6d  %s  %s: %s (%s)' % (
        ticket.number,
        format_time(ticket.filed_at),
        ticket.author,
        ' '.join(ticket.reason.split()),
        ', '.join(state.scope for state in ticket.scopes),
    )
