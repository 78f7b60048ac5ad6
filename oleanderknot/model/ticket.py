"""Numbered policy change."""

import dataclasses

from oleanderknot.model import scope_state


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A numbered policy change with the complete state of its scopes.

    Attributes:
        number: Position in the order of all tickets, from 1.
        id: Unique id chosen by the writer.
        author: Operator who filed it.
        reason: Reason for the change, as given by the operator.
        filed_at: Wall-clock time in seconds since 1970 (UTC).
        scopes: Complete state of each scope that the ticket changes.
    """

    number: int
    id: str
    author: str
    reason: str
    filed_at: float
    scopes: tuple[scope_state.ScopeState, ...]
