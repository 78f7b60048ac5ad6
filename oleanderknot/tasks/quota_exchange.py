"""One request to another node about rate limits."""

import asyncio
import collections.abc
import dataclasses

from oleanderknot import model


@dataclasses.dataclass(slots=True, kw_only=True)
class QuotaExchange:
    """Request that waits for its answer.

    Attributes:
        instance: Node that was asked.
        sent_at: Monotonic time in seconds at which it was sent.
        on_grant: Called with each answer.
        on_failed: Called if there is none in time; None if the node is asked
            again all the same.
        due: Monotonic time in seconds of the next step.
        failed: Whether ``on_failed`` was called.
        timer: Timer of the next step.
    """

    instance: str
    sent_at: float
    on_grant: collections.abc.Callable[[model.QuotaGrant, float], None]
    on_failed: collections.abc.Callable[[], None] | None
    due: float = 0.0
    failed: bool = False
    timer: asyncio.TimerHandle | None = None
