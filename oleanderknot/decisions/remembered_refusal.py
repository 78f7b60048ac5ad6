"""A refused request whose client may come back."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class RememberedRefusal:
    """One refusal of a root request, to be used by one later request.

    Attributes:
        refused_at: Monotonic time in seconds of the refusal.
        return_at: Monotonic time in seconds from which the client may return.
        client_deadline: Monotonic time in seconds at which the client gives
            up.
        refusals: Number of refusals of this client so far.
        first_fraction: Fraction of the trace id of its first request.
    """

    refused_at: float
    return_at: float
    client_deadline: float
    refusals: int = 1
    first_fraction: float = 0.0

    def is_due(self, received_at: float) -> bool:
        """Return whether a request came no earlier than the client was told.

        Args:
            received_at: Monotonic time in seconds at which it arrived.
        """
        return received_at >= self.return_at
