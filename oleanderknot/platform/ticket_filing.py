"""Files tickets in the platform's table service, for every front end."""

import asyncio
import collections.abc
import dataclasses

from expression import Error
from expression import Ok
from expression import Result

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.platform import table_client

# Number of times that a filing is read back after its response was lost. With
# the delay between reads and the client's timeout this takes a few seconds,
# which is as long as an operator waits.
READ_BACK_ATTEMPTS = 5
READ_BACK_DELAY_S = 0.3

# Timeout of table requests that concern tickets. It is the same for operators
# and nodes, so that no ticket is accepted by a table that is too slow for the
# nodes to load it. A node needs two responses to load a ticket, which leaves
# 1 s of the 7 s within which the ticket must be in force.
TABLE_TIMEOUT_S = 3.0

NOTHING_CHANGED = 'nothing was changed'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FilingPlan:
    """A ticket that is ready to be filed, and the table state it depends on.

    Attributes:
        ticket: The ticket with the number that it will get.
        head: Newest ticket at the time of planning.
        head_version: Version of the head row; the filing fails if the row
            has changed since.
        in_force: State in force of each affected scope that an earlier
            ticket has set.
    """

    ticket: model.Ticket
    head: model.TicketHead
    head_version: int
    in_force: collections.abc.Mapping[str, model.ScopeState]


async def prepare(
    table: table_client.TableClient, draft: model.Ticket
) -> Result[FilingPlan, model.PlatformFault]:
    """Read the rows that a ticket depends on and plan its filing.

    Args:
        table: The table service.
        draft: The ticket; its number is ignored.

    Returns:
        The plan; nothing has been written yet.
    """
    keys = [border.ticket_rows.HEAD_KEY]
    keys += [
        border.ticket_rows.SCOPE_PREFIX + state.scope for state in draft.scopes
    ]
    result = await table.read(keys)
    return result.bind(lambda rows: build_plan(draft, rows))


def build_plan(
    draft: model.Ticket, rows: list[model.TableRow]
) -> Result[FilingPlan, model.PlatformFault]:
    """Build the plan of a filing from the head row and the scope rows."""
    try:
        head = border.ticket_rows.parse_head(rows[0])
        states = [border.ticket_rows.parse_scope(row) for row in rows[1:]]
    except ValueError as error:
        return Error(
            model.PlatformFault(
                kind=model.FaultKind.NOT_SENT,
                detail='the table holds a malformed row: %s' % error,
            )
        )
    return Ok(
        FilingPlan(
            ticket=decisions.number_ticket(draft, head.number + 1),
            head=head,
            head_version=rows[0].version,
            in_force={state.scope: state for state in states if state},
        )
    )


async def file_ticket(
    table: table_client.TableClient, plan: FilingPlan
) -> model.FilingOutcome:
    """Write a ticket to the table in one transaction.

    Args:
        table: The table service.
        plan: The plan of ``prepare``.

    Returns:
        The outcome; its result is never ``OPEN``.
    """
    ticket = plan.ticket
    key = border.ticket_rows.format_ticket_key(ticket.number)
    result = await table.commit(
        {border.ticket_rows.HEAD_KEY: plan.head_version, key: 0},
        border.ticket_rows.format_writes(ticket),
    )
    if result.is_ok():
        return model.FilingOutcome(
            result=model.FilingResult.FILED, ticket=ticket
        )
    if result.error.kind is model.FaultKind.NOT_SENT:
        return model.FilingOutcome(
            result=model.FilingResult.NOT_FILED,
            ticket=ticket,
            detail='%s; %s' % (result.error.detail, NOTHING_CHANGED),
        )
    if result.error.kind is model.FaultKind.CONFLICT:
        return await describe_conflict(table, ticket)
    return await resolve_outcome(table, plan, result.error.detail)


async def describe_conflict(
    table: table_client.TableClient, ticket: model.Ticket
) -> model.FilingOutcome:
    """Build the outcome of a filing whose number is already taken."""
    key = border.ticket_rows.format_ticket_key(ticket.number)
    found = (await table.read([key])).bind(parse_ticket)
    winner = found.ok if found.is_ok() else None
    if winner is not None and winner.id == ticket.id:
        # The write was delivered twice; the first delivery succeeded.
        return model.FilingOutcome(
            result=model.FilingResult.FILED, ticket=ticket
        )
    return model.FilingOutcome(
        result=model.FilingResult.CONFLICT,
        ticket=ticket,
        winner=winner,
        detail='another operator was faster; ' + NOTHING_CHANGED,
    )


async def resolve_outcome(
    table: table_client.TableClient, plan: FilingPlan, detail: str
) -> model.FilingOutcome:
    """Determine the outcome of a filing whose response was lost.

    While the ticket is absent, its write may still arrive. Rewriting the head
    row with the same content changes the version of the row, so that a late
    write fails its version check.
    """
    result = model.FilingResult.OPEN
    winner = None
    for attempt in range(READ_BACK_ATTEMPTS):
        if attempt:
            await asyncio.sleep(READ_BACK_DELAY_S)
        read = await read_back(table, plan.ticket.number)
        if read.is_error():
            continue
        head_version, winner = read.ok
        result = decisions.resolve_filing(
            own_id=plan.ticket.id,
            found_id=winner and winner.id,
            checked_version=plan.head_version,
            head_version=head_version,
        )
        if result is not model.FilingResult.OPEN:
            break
        head_key = border.ticket_rows.HEAD_KEY
        fence = await table.commit(
            {head_key: plan.head_version},
            {head_key: border.ticket_rows.format_head(plan.head)},
        )
        if fence.is_ok():
            result = model.FilingResult.NOT_FILED
            break
    return build_outcome(plan.ticket, result, winner, detail)


def build_outcome(
    ticket: model.Ticket,
    result: model.FilingResult,
    winner: model.Ticket | None,
    detail: str,
) -> model.FilingOutcome:
    """Build the outcome of a filing from what was read back."""
    if result is model.FilingResult.OPEN:
        result = model.FilingResult.UNKNOWN
        detail = (
            'the response to the write was lost (%s) and the table could '
            'not be read since: the ticket may have been filed' % detail
        )
    elif result is model.FilingResult.FILED:
        winner = None
        detail = (
            'the response was lost; a later read shows the ticket as filed'
        )
    elif result is model.FilingResult.CONFLICT:
        detail = 'another operator was faster; ' + NOTHING_CHANGED
    else:
        detail = '%s; %s' % (detail, NOTHING_CHANGED)
    return model.FilingOutcome(
        result=result, ticket=ticket, winner=winner, detail=detail
    )


async def read_back(
    table: table_client.TableClient, number: int
) -> Result[tuple[int, model.Ticket | None], model.PlatformFault]:
    """Read the version of the head row, then the ticket with a number."""
    head = await table.read([border.ticket_rows.HEAD_KEY])
    if head.is_error():
        return head
    key = border.ticket_rows.format_ticket_key(number)
    ticket = (await table.read([key])).bind(parse_ticket)
    return ticket.map(lambda found: (head.ok[0].version, found))


def parse_ticket(
    rows: list[model.TableRow],
) -> Result[model.Ticket | None, model.PlatformFault]:
    """Parse the row of one ticket; None when it is absent."""
    try:
        return Ok(border.ticket_rows.parse_ticket(rows[0]))
    except ValueError as error:
        return Error(
            model.PlatformFault(
                kind=model.FaultKind.UNKNOWN,
                detail='the table holds a malformed ticket: %s' % error,
            )
        )
