"""Deadlines of many waits with one timer."""

import asyncio
import collections.abc
import math

# The event loop rounds times to milliseconds, so a timer may fire early by up
# to half of one.
TIMER_TOLERANCE_S = 0.001


class Deadlines:
    """Calls back when a deadline passes that has not been removed before.

    Nearly all deadlines are removed before they pass. A timer for each of
    them is set and cancelled again; the one timer here is set only when a
    deadline comes before all others, and finds nothing to do when it fires
    after that deadline was removed.

    Attributes:
        on_passed: Called with the key of each deadline that passes.
        times: Deadlines as loop time in seconds, by key.
        timer: Timer of the earliest deadline; None while there is none.
        timer_at: Loop time in seconds for which the timer is set.
    """

    def __init__(
        self,
        *,
        on_passed: collections.abc.Callable[
            [collections.abc.Hashable], object
        ],
    ) -> None:
        self.on_passed = on_passed
        self.loop = asyncio.get_running_loop()
        self.times: dict[collections.abc.Hashable, float] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = math.inf

    def add(self, key: collections.abc.Hashable, deadline: float) -> None:
        """Add a deadline.

        Args:
            key: Identifies the wait.
            deadline: Loop time in seconds.
        """
        self.times[key] = deadline
        if deadline < self.timer_at:
            self.set_timer(deadline)

    def remove(self, key: collections.abc.Hashable) -> None:
        """Remove a deadline if it has not passed."""
        self.times.pop(key, None)

    def set_timer(self, deadline: float) -> None:
        """Set the timer for a deadline."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = deadline
        self.timer = self.loop.call_at(deadline, self.check)

    def check(self) -> None:
        """Report the deadlines that have passed; called by the timer."""
        self.timer = None
        self.timer_at = math.inf
        latest = self.loop.time() + TIMER_TOLERANCE_S
        passed = [key for key, time in self.times.items() if time <= latest]
        for key in passed:
            if self.times.pop(key, None) is not None:
                self.on_passed(key)
        if self.times:
            self.set_timer(min(self.times.values()))
