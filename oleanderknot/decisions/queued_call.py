"""Entry of the admission queue."""

import dataclasses
import typing

from oleanderknot import model


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class QueuedCall:
    """A call that waits for a place at the upstream.

    Attributes:
        request_class: Importance of the chain.
        depth: Calls above this one in the chain.
        arrived_at: Monotonic time in seconds.
        deadline: Monotonic time in seconds at which the answer is due.
        expected_s: Seconds that the call is expected to take.
        band: Part of its class that the call belongs to, by its trace; the
            same for all calls of a request.
        token: What the owner of the queue finds the call by.
    """

    request_class: model.RequestClass
    depth: int
    arrived_at: float
    deadline: float
    expected_s: float
    band: int = 0
    token: typing.Any = None

    def will_miss_deadline(self, now: float) -> bool:
        """Return whether the call could not end before its deadline."""
        return now + self.expected_s >= self.deadline
