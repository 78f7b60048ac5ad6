"""Loads the scope states that tickets set from the platform's table."""

import collections.abc

from expression import Error
from expression import Ok
from expression import Result

from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform

# Maximum number of ticket rows in one read. A node that lacks more tickets
# reads the rows of all scopes instead.
MAX_TICKET_READS = 50
SCAN_PAGE_ROWS = 1000

CountFunction = collections.abc.Callable[[str], None]
LoadResult = Result[list[model.ScopeState], model.PlatformFault]


class TicketLoader:
    """Reads tickets and scopes.

    Attributes:
        table: Client of the table service.
        count: Increments the counter metric of this name.
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
        """Load the states set by the tickets after ``complete``.

        Args:
            complete: Number of the ticket up to which none is missing here.
            number: Number of the newest ticket.

        Returns:
            The states; they may include older states of the same scope.
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
    """Parse a row and return its value, or a fault if it is malformed."""
    try:
        return Ok(function(row))
    except ValueError as error:
        return build_fault('row %s is malformed: %s' % (row.key, error))


def parse_tickets(rows: list[model.TableRow]) -> LoadResult:
    """Parse tickets and return their states; an absent row is a fault."""
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
    """Build the fault of a row that cannot be used."""
    return Error(
        model.PlatformFault(kind=model.FaultKind.UNKNOWN, detail=detail)
    )
