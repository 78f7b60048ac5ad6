"""Entry of the admission queue."""

import dataclasses
import typing

from oleanderknot import model


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class QueuedCall:
    """A call that waits for a slot of the upstream.

    Attributes:
        request_class: Importance of the chain.
        depth: Number of calls above this one in the chain.
        arrived_at: Monotonic time in seconds at which the call arrived.
        deadline: Monotonic time in seconds at which the answer is due.
        expected_s: Expected service time in seconds.
        band: Band within its class, derived from the trace id; the same for
            all calls of a request.
        token: Identifies the call for the owner of the queue.
    """

    request_class: model.RequestClass
    depth: int
    arrived_at: float
    deadline: float
    expected_s: float
    band: int = 0
    token: typing.Any = None

    def will_miss_deadline(self, now: float) -> bool:
        """Return whether the call cannot end before its deadline."""
        return now + self.expected_s >= self.deadline
