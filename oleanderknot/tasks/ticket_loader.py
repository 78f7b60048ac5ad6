"""Loads the effect of tickets from the platform's table."""

import collections.abc

from expression import Error
from expression import Ok
from expression import Result

from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform

# A node that lacks more tickets than this reads the rows of all scopes.
MAX_TICKET_READS = 50
SCAN_PAGE_ROWS = 1000

CountFunction = collections.abc.Callable[[str], None]
LoadResult = Result[list[model.ScopeState], model.PlatformFault]


class TicketLoader:
    """Reads tickets and scopes.

    Attributes:
        table: The table service.
        count: Counts each read.
    """

    def __init__(
        self, *, table: platform.TableClient, count: CountFunction
    ) -> None:
        self.table = table
        self.count = count

    async def read_head(
        self,
    ) -> Result[model.TicketHead, model.PlatformFault]:
        """Read the number of the newest ticket."""
        self.count('ticket.head_reads')
        rows = await self.table.read([border.ticket_rows.HEAD_KEY])
        return rows.bind(
            lambda found: parse_row(border.ticket_rows.parse_head, found[0])
        )

    async def load(self, complete: int, number: int) -> LoadResult:
        """Load the states that tickets after a number have set.

        Args:
            complete: Ticket up to which nothing is lacking.
            number: Newest ticket.

        Returns:
            The states, older ones of a scope perhaps among them.
        """
        if number - complete > MAX_TICKET_READS:
            return await self.load_scopes()
        self.count('ticket.load_reads')
        rows = await self.table.read(
            [
                border.ticket_rows.format_ticket_key(item)
                for item in range(complete + 1, number + 1)
            ]
        )
        return rows.bind(parse_tickets)

    async def load_scopes(self) -> LoadResult:
        """Load the state of every scope."""
        states: list[model.ScopeState] = []
        after = ''
        while True:
            self.count('ticket.load_reads')
            rows = await self.table.scan(
                border.ticket_rows.SCOPE_PREFIX,
                after=after,
                limit=SCAN_PAGE_ROWS,
            )
            if rows.is_error():
                return rows
            for row in rows.ok:
                state = parse_row(border.ticket_rows.parse_scope, row)
                if state.is_error():
                    return state
                states.append(state.ok)
            if len(rows.ok) < SCAN_PAGE_ROWS:
                return Ok(states)
            after = rows.ok[-1].key


def parse_row(
    function: collections.abc.Callable[[model.TableRow], object],
    row: model.TableRow,
) -> Result:
    """Parse a row; a malformed one is a fault."""
    try:
        return Ok(function(row))
    except ValueError as error:
        return build_fault('row %s is malformed: %s' % (row.key, error))


def parse_tickets(rows: list[model.TableRow]) -> LoadResult:
    """Parse tickets and return their states; an absent one is a fault."""
    states: list[model.ScopeState] = []
    for row in rows:
        ticket = parse_row(border.ticket_rows.parse_ticket, row)
        if ticket.is_error():
            return ticket
        if ticket.ok is None:
            return build_fault('row %s is absent' % row.key)
        states += ticket.ok.scopes
    return Ok(states)


def build_fault(detail: str) -> Result:
    """Return the fault of a row that cannot be used."""
    return Error(
        model.PlatformFault(kind=model.FaultKind.UNKNOWN, detail=detail)
    )
