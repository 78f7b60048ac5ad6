"""Outcome of filing a ticket."""

import dataclasses
import enum

from oleanderknot.model import ticket as tickets


class FilingResult(enum.Enum):
    """Result of writing a ticket to the table.

    ``OPEN`` is intermediate: the write has not been observed but may still
    take effect.
    """

    FILED = 'filed'
    CONFLICT = 'conflict'
    NOT_FILED = 'not_filed'
    OPEN = 'open'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FilingOutcome:
    """Outcome of filing a ticket.

    Attributes:
        result: Result as far as it is known.
        ticket: The ticket to be filed, with its number.
        winner: The ticket that was filed under the number instead; set after
            a conflict if it could be read.
        detail: One English sentence for operators.
    """

    result: FilingResult
    ticket: tickets.Ticket
    winner: tickets.Ticket | None = None
    detail: str = ''
