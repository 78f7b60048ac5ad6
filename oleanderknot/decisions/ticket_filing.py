"""Settles what became of a ticket that was sent to the table."""

import dataclasses

from oleanderknot import model


def number_ticket(draft: model.Ticket, number: int) -> model.Ticket:
    """Give a ticket and its scopes a number.

    Args:
        draft: The ticket; its own number is not used.
        number: The number.

    Returns:
        The ticket with the number.
    """
    scopes = tuple(
        dataclasses.replace(state, number=number) for state in draft.scopes
    )
    return dataclasses.replace(draft, number=number, scopes=scopes)


def settle(
    *,
    own_id: str,
    found_id: str | None,
    checked_version: int,
    head_version: int,
) -> model.FilingResult:
    """Settle a filing from what was read back.

    The head must be read before the ticket. Then a head that has changed
    while the ticket is absent proves that the filing cannot take effect any
    more: its check of the head's version fails.

    Args:
        own_id: Id of the ticket that was sent.
        found_id: Id of the ticket that holds the number; None for none.
        checked_version: Version of the head that the filing checked.
        head_version: Version of the head that was read back.

    Returns:
        ``FILED``, ``CONFLICT``, ``NOT_FILED``, or ``OPEN`` when the write
        may still arrive.
    """
    if found_id is not None:
        if found_id == own_id:
            return model.FilingResult.FILED
        return model.FilingResult.CONFLICT
    if head_version != checked_version:
        return model.FilingResult.NOT_FILED
    return model.FilingResult.OPEN
