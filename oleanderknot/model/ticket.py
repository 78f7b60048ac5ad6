"""A change of policy."""

import dataclasses

from oleanderknot.model import scope_state


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A numbered change that carries whole states.

    Attributes:
        number: Position in the order of all tickets, from 1.
        id: Unique id that the writer chose.
        author: Operator who filed it.
        reason: Why, in the operator's words.
        filed_at: Wall-clock time in seconds since 1970 (UTC).
        scopes: The whole state of each scope that the ticket touches.
    """

    number: int
    id: str
    author: str
    reason: str
    filed_at: float
    scopes: tuple[scope_state.ScopeState, ...]
