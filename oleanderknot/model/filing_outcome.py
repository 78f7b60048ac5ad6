"""What became of the filing of a ticket."""

import dataclasses
import enum

from oleanderknot.model import ticket as tickets


class FilingResult(enum.Enum):
    """What is known about a ticket after it was sent to the table.

    ``OPEN`` is a step on the way: the write has not been seen, but may
    still arrive.
    """

    FILED = 'filed'
    CONFLICT = 'conflict'
    NOT_FILED = 'not_filed'
    OPEN = 'open'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FilingOutcome:
    """What became of the filing of a ticket.

    Attributes:
        result: What is known.
        ticket: The ticket that was to be filed, with its number.
        winner: The ticket that took the number, after a conflict and when
            it could be read.
        detail: One English sentence for operators.
    """

    result: FilingResult
    ticket: tickets.Ticket
    winner: tickets.Ticket | None = None
    detail: str = ''
