"""Encodes tickets and scopes as rows of the platform's table service."""

import json
import typing

import pydantic

from oleanderknot import model
from oleanderknot.border import scopes
from oleanderknot.border import settings

HEAD_KEY = 'ticket-head'
TICKET_PREFIX = 'ticket/'
SCOPE_PREFIX = 'scope/'

TicketNumber = typing.Annotated[
    int, pydantic.Field(ge=1, lt=10**12, strict=True)
]

# Last second of the year 9999, the latest time that datetime can represent.
LATEST_EPOCH_S = 253_402_300_799


class HeadRow(settings.Model):
    """Value of the row ``ticket-head``, which names the newest ticket."""

    number: typing.Annotated[int, pydantic.Field(ge=0, lt=10**12, strict=True)]
    id: str


class TicketRow(settings.Model):
    """Value of a row ``ticket/<number>``."""

    number: TicketNumber
    id: str
    author: str
    reason: str
    filed_at: typing.Annotated[
        float, pydantic.Field(ge=0, le=LATEST_EPOCH_S, allow_inf_nan=False)
    ]
    scopes: dict[str, typing.Any]


class ScopeRow(settings.Model):
    """Value of a row ``scope/<scope>``."""

    number: TicketNumber
    state: dict[str, typing.Any]


def format_ticket_key(number: int) -> str:
    """Return the key of a ticket's row; keys sort in order of number."""
    return '%s%012d' % (TICKET_PREFIX, number)


def format_head(head: model.TicketHead) -> str:
    """Return the value of the row ``ticket-head``."""
    return HeadRow(number=head.number, id=head.id).model_dump_json()


def parse_head(row: model.TableRow) -> model.TicketHead:
    """Parse the row ``ticket-head``; a missing row gives number 0.

    Raises:
        ValueError: The value is malformed.
    """
    if not row.version:
        return model.TicketHead()
    value = HeadRow.model_validate_json(row.value)
    return model.TicketHead(number=value.number, id=value.id)


def format_ticket(ticket: model.Ticket) -> str:
    """Return the value of a ticket's row."""
    return TicketRow(
        number=ticket.number,
        id=ticket.id,
        author=ticket.author,
        reason=ticket.reason,
        filed_at=ticket.filed_at,
        scopes={
            state.scope: scopes.dump_policy(state.policy)
            for state in ticket.scopes
        },
    ).model_dump_json()


def parse_ticket(row: model.TableRow) -> model.Ticket | None:
    """Parse a ticket's row; a missing row gives None.

    Raises:
        ValueError: The value is malformed or its number does not match the
            key.
    """
    if not row.version:
        return None
    value = TicketRow.model_validate_json(row.value)
    if format_ticket_key(value.number) != row.key:
        raise ValueError(
            'row %s contains ticket number %d' % (row.key, value.number)
        )
    return model.Ticket(
        number=value.number,
        id=value.id,
        author=value.author,
        reason=value.reason,
        filed_at=value.filed_at,
        scopes=tuple(
            model.ScopeState(
                scope=scope,
                number=value.number,
                policy=scopes.parse_policy(scope, state),
            )
            for scope, state in value.scopes.items()
        ),
    )


def format_scope(state: model.ScopeState) -> str:
    """Return the value of a scope's row."""
    return ScopeRow(
        number=state.number, state=scopes.dump_policy(state.policy)
    ).model_dump_json()


def parse_scope(row: model.TableRow) -> model.ScopeState | None:
    """Parse a scope's row; a missing row gives None.

    Raises:
        ValueError: The key or the value is malformed.
    """
    if not row.version:
        return None
    scope = row.key.removeprefix(SCOPE_PREFIX)
    value = ScopeRow.model_validate_json(row.value)
    return model.ScopeState(
        scope=scope,
        number=value.number,
        policy=scopes.parse_policy(scope, value.state),
    )


def format_writes(ticket: model.Ticket) -> dict[str, str]:
    """Return the rows to write, by key, to file a numbered ticket."""
    head = model.TicketHead(number=ticket.number, id=ticket.id)
    writes = {
        HEAD_KEY: format_head(head),
        format_ticket_key(ticket.number): format_ticket(ticket),
    }
    for state in ticket.scopes:
        writes[SCOPE_PREFIX + state.scope] = format_scope(state)
    return writes


def format_state(policy: model.Policy) -> str:
    """Return the state of a scope as compact JSON for peer messages."""
    return json.dumps(scopes.dump_policy(policy), separators=(',', ':'))
