"""Files tickets in the platform's table; shared by all front ends."""

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

# Times that a filing whose answer was lost is read back. With the pause and
# the client's timeout this takes a few seconds, as long as an operator waits.
SETTLE_ATTEMPTS = 5
SETTLE_PAUSE_S = 0.3

# Longest wait for an answer of the table that concerns tickets. Operators and
# nodes wait equally long, so that a table slow enough to keep a ticket from
# nodes does not accept one. A node needs two answers to load a ticket, which
# leaves 1 s of the 7 s in which it must be in force.
TIMEOUT_S = 3.0

NOTHING_CHANGED = 'nothing was changed'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FilingPlan:
    """A ticket and what it was prepared against.

    Attributes:
        ticket: The ticket with the number that it would get.
        head: Newest ticket when the plan was made.
        head_version: Version of the head's row; the filing fails if it has
            changed since.
        in_force: State in force of each scope that a ticket has set.
    """

    ticket: model.Ticket
    head: model.TicketHead
    head_version: int
    in_force: collections.abc.Mapping[str, model.ScopeState]


async def prepare(
    table: table_client.TableClient, draft: model.Ticket
) -> Result[FilingPlan, model.PlatformFault]:
    """Read what a ticket would change.

    Args:
        table: The table service.
        draft: The ticket; its number is not used.

    Returns:
        The plan; the ticket is not filed yet.
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
    """Build the plan of a filing from the rows that it depends on."""
    try:
        head = border.ticket_rows.parse_head(rows[0])
        states = [border.ticket_rows.parse_scope(row) for row in rows[1:]]
    except ValueError as error:
        return Error(
            model.PlatformFault(
                kind=model.FaultKind.NOT_SENT,
                detail='a row of the table is malformed: %s' % error,
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
    """File a ticket in one transaction.

    Args:
        table: The table service.
        plan: The plan of ``prepare``.

    Returns:
        What became of it; never ``OPEN``.
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
    return await settle(table, plan, result.error.detail)


async def describe_conflict(
    table: table_client.TableClient, ticket: model.Ticket
) -> model.FilingOutcome:
    """Name the ticket that took the number."""
    key = border.ticket_rows.format_ticket_key(ticket.number)
    found = (await table.read([key])).bind(parse_ticket)
    winner = found.ok if found.is_ok() else None
    if winner is not None and winner.id == ticket.id:
        # The write came twice; the first one counts.
        return model.FilingOutcome(
            result=model.FilingResult.FILED, ticket=ticket
        )
    return model.FilingOutcome(
        result=model.FilingResult.CONFLICT,
        ticket=ticket,
        winner=winner,
        detail='another operator was faster; ' + NOTHING_CHANGED,
    )


async def settle(
    table: table_client.TableClient, plan: FilingPlan, detail: str
) -> model.FilingOutcome:
    """Find out what became of a filing whose answer was lost.

    While the ticket is absent its write may still arrive. Writing the head
    anew with the same content changes its version, so that a late write
    fails its check.
    """
    result = model.FilingResult.OPEN
    winner = None
    for attempt in range(SETTLE_ATTEMPTS):
        if attempt:
            await asyncio.sleep(SETTLE_PAUSE_S)
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
    """Build the outcome of a filing that was read back."""
    if result is model.FilingResult.OPEN:
        result = model.FilingResult.UNKNOWN
        detail = (
            'the answer of the table was lost (%s) and the table could not '
            'be asked since: the ticket may have been filed' % detail
        )
    elif result is model.FilingResult.FILED:
        winner = None
        detail = 'the answer was lost; reading back shows that it is filed'
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
    """Read the head's version and then the ticket of a number."""
    head = await table.read([border.ticket_rows.HEAD_KEY])
    if head.is_error():
        return head
    key = border.ticket_rows.format_ticket_key(number)
    ticket = (await table.read([key])).bind(parse_ticket)
    return ticket.map(lambda found: (head.ok[0].version, found))


def parse_ticket(
    rows: list[model.TableRow],
) -> Result[model.Ticket | None, model.PlatformFault]:
    """Parse the one ticket that was read; None when it is absent."""
    try:
        return Ok(border.ticket_rows.parse_ticket(rows[0]))
    except ValueError as error:
        return Error(
            model.PlatformFault(
                kind=model.FaultKind.UNKNOWN,
                detail='a ticket of the table is malformed: %s' % error,
            )
        )
