"""Request for tokens that waits at a home."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class QuotaPending:
    """Request for tokens of a first node.

    Attributes:
        requester: Instance that sent it.
        number: Number that the requester has given it.
        wanted: Tokens that it asks for.
        deadline: Monotonic time in seconds until which it waits.
    """

    requester: str
    number: int
    wanted: int
    deadline: float
