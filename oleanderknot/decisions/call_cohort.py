"""Cohort of the calls that start at an upstream within one window."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class CallCohort:
    """Collects the outcome of all calls that start in one window.

    Calls are grouped by their start, not by their end: the first calls to end
    in a window are the short ones, so their median would be too low.

    Attributes:
        opened_at: Monotonic time in seconds at which the window started.
        started: Number of calls that started.
        done: Number of calls whose outcome is known.
        reached_limit: Whether the number of running calls reached the limit.
        closed: Whether the window has ended, so that no more calls join.
        own_times: Own time of each call in seconds, which is its run time
            without the wait for its nested calls.
    """

    opened_at: float
    started: int = 0
    done: int = 0
    reached_limit: bool = False
    closed: bool = False
    own_times: list[float] = dataclasses.field(default_factory=list)
