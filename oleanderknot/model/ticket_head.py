"""Number and id of the latest ticket."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TicketHead:
    """Latest ticket according to the table.

    Attributes:
        number: Its number; 0 before the first ticket.
        id: Its unique id; empty before the first ticket.
    """

    number: int = 0
    id: str = ''
