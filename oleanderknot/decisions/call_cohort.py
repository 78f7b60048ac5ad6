"""Calls that start at an upstream within one window."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class CallCohort:
    """Collects the outcome of all calls that start in one window.

    Calls are grouped by their start, not by their end: the calls that end
    first in a window are the short ones, so their median would be too low.

    Attributes:
        opened_at: Monotonic time in seconds at which the window started.
        started: Calls that started.
        done: Calls whose outcome is known.
        reached_limit: Whether a call took the last place of the limit.
        closed: Whether no more calls join.
        own_times: Seconds that the upstream worked on each call.
    """

    opened_at: float
    started: int = 0
    done: int = 0
    reached_limit: bool = False
    closed: bool = False
    own_times: list[float] = dataclasses.field(default_factory=list)
