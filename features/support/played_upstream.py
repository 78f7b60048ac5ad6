"""One upstream in the test of even load."""

import collections
import dataclasses

from features.support import played_call


@dataclasses.dataclass(slots=True, kw_only=True)
class PlayedUpstream:
    """An upstream with its local node.

    Attributes:
        name: Name of the instance.
        speed: Speed factor.
        data_centre: Number of its data centre.
        slots: Calls that run at once.
        running: Calls that run now.
        queue: Calls that wait.
        arrivals: Counted calls that it has run.
        busy_s: Counted seconds of its running and waiting calls.
    """

    name: str
    speed: float
    data_centre: int
    slots: int
    running: int = 0
    queue: collections.deque[played_call.PlayedCall] = dataclasses.field(
        default_factory=collections.deque
    )
    arrivals: int = 0
    busy_s: float = 0.0
