"""Number of the newest ticket."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TicketHead:
    """The newest ticket as the table names it.

    Attributes:
        number: Its number; 0 before the first ticket.
        id: Its unique id; empty before the first ticket.
    """

    number: int = 0
    id: str = ''
