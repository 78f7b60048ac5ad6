"""The withdrawal of an API key."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawal:
    """A policy that withdraws an API key.

    Attributes:
        key: The key.
        put_at: Monotonic time in seconds at which the policy was sent to the
            store.
        acknowledged_at: Monotonic time in seconds at which the store had
            acknowledged it.
    """

    key: str
    put_at: float
    acknowledged_at: float
