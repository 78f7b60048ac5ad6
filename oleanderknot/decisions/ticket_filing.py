"""Outcome of writing a ticket to the table service."""

import dataclasses

from oleanderknot import model


def number_ticket(draft: model.Ticket, number: int) -> model.Ticket:
    """Return a copy of a ticket with a number set on it and its scopes.

    Args:
        draft: The ticket; its current number is ignored.
        number: The ticket number.

    Returns:
        The numbered ticket.
    """
    scopes = tuple(
        dataclasses.replace(state, number=number) for state in draft.scopes
    )
    return dataclasses.replace(draft, number=number, scopes=scopes)


def resolve_filing(
    *,
    own_id: str,
    found_id: str | None,
    checked_version: int,
    head_version: int,
) -> model.FilingResult:
    """Determine the result of a ticket write from the rows read back.

    The head row must be read before the ticket row. If the head has changed
    and the ticket is absent, the write can no longer take effect, because
    its check of the head version fails.

    Args:
        own_id: Id of the ticket that was written.
        found_id: Id of the ticket stored under the number; None if absent.
        checked_version: Version of the head that the write checks for.
        head_version: Version of the head that was read back.

    Returns:
        ``FILED``, ``CONFLICT``, ``NOT_FILED``, or ``OPEN`` when the write
        may still take effect.
    """
    if found_id is not None:
        if found_id == own_id:
            return model.FilingResult.FILED
        return model.FilingResult.CONFLICT
    if head_version != checked_version:
        return model.FilingResult.NOT_FILED
    return model.FilingResult.OPEN
