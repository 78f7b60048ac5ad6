"""Bounded queue of the calls that wait for a place at an upstream."""

import collections

from oleanderknot import model
from oleanderknot.decisions import queued_call

# Wait of the oldest call that is no sign of overload: this, or the time that
# the call itself takes. With calls of 400 ms, newest first at 20 ms let calls
# starve that would have been in time.
TARGET_DELAY_S = 0.02

# Time for which the delay must be over its target before the order changes.
OVERLOAD_AFTER_S = 0.1

# Under overload an entry is refused after this time, or after twice its
# service time: with few slots and long calls the next slot frees late.
MAX_DELAY_S = 0.1
MAX_DELAY_CALLS = 2.0

Dropped = list[tuple[queued_call.QueuedCall, model.Rule]]


class AdmissionQueue:
    """Orders waiting calls by class, then band, then depth, then age.

    The band is the same for all calls of a request, so under overload all
    calls of some requests are served and others fail at their first one. By
    age alone most requests would get some of their calls served, and fail.

    Among equal calls the oldest goes first. Under overload the newest goes
    first, since the oldest would miss its deadline or be repeated by its
    caller anyway.

    Attributes:
        capacity: Most calls that may wait.
        groups: Waiting calls, oldest first, by class, band and negative depth.
        size: Calls that wait.
        over_since: Monotonic time in seconds since which the oldest call
            has waited too long; None when it has not.
        overloaded: Whether that has lasted long enough to change the order.
        inner_patience: How many times as long a call of running work may
            wait as a new request.
    """

    def __init__(self, *, capacity: int, inner_patience: float = 1.0) -> None:
        self.capacity = capacity
        self.inner_patience = inner_patience
        self.groups: dict[
            tuple[int, int, int], collections.deque[queued_call.QueuedCall]
        ] = {}
        self.size = 0
        self.over_since: float | None = None
        self.overloaded = False

    def push(self, entry: queued_call.QueuedCall, now: float) -> Dropped:
        """Add a call; when the queue is full the least important leaves.

        Args:
            entry: The call.
            now: Monotonic time in seconds.

        Returns:
            Calls that are refused, perhaps the new one, with the rule.
        """
        self.measure(now)
        dropped = self.sweep(now)
        key = find_key(entry)
        if self.size >= self.capacity:
            worst = max(self.groups)
            if key > worst or (key == worst and not self.overloaded):
                return [*dropped, (entry, model.Rule.QUEUE_FULL)]
            victim = self.take(worst, oldest=self.overloaded)
            dropped.append((victim, model.Rule.QUEUE_FULL))
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = collections.deque()
        group.append(entry)
        self.size += 1
        return dropped

    def pop(self, now: float) -> tuple[queued_call.QueuedCall | None, Dropped]:
        """Take the call that runs next.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The call, or None, and calls that are refused with the rule.
        """
        self.measure(now)
        dropped: Dropped = []
        chosen = None
        while self.size:
            entry = self.take(min(self.groups), oldest=not self.overloaded)
            if not entry.is_hopeless(now):
                chosen = entry
                break
            dropped.append((entry, model.Rule.DEADLINE))
        # Late calls are refused only after one was chosen, so that a slot
        # is not left unused when all calls in the queue are late.
        dropped += self.sweep(now)
        return chosen, dropped

    def remove(self, entry: queued_call.QueuedCall) -> None:
        """Take out a call whose caller has left, if it still waits."""
        key = find_key(entry)
        group = self.groups.get(key)
        if group is None or entry not in group:
            return
        group.remove(entry)
        self.shrink(key)

    def measure(self, now: float) -> None:
        """Note whether the oldest call has waited too long."""
        due = min(
            (
                group[0].arrived_at + max(TARGET_DELAY_S, group[0].expected_s)
                for group in self.groups.values()
            ),
            default=now,
        )
        if now <= due:
            self.over_since = None
            self.overloaded = False
            return
        if self.over_since is None:
            self.over_since = due
        self.overloaded = now - self.over_since >= OVERLOAD_AFTER_S

    def sweep(self, now: float) -> Dropped:
        """Take out calls that have waited too long under overload."""
        dropped: Dropped = []
        if not self.overloaded:
            return dropped
        for key in list(self.groups):
            group = self.groups[key]
            while group:
                entry = group[0]
                if now - entry.arrived_at <= self.find_longest_delay(entry):
                    break
                group.popleft()
                late = entry.is_hopeless(now)
                rule = model.Rule.DEADLINE if late else model.Rule.QUEUE_DELAY
                dropped.append((entry, rule))
                self.size -= 1
            if not group:
                del self.groups[key]
        return dropped

    def find_longest_delay(self, entry: queued_call.QueuedCall) -> float:
        """Return the seconds after which overload refuses a call."""
        longest = max(MAX_DELAY_S, MAX_DELAY_CALLS * entry.expected_s)
        return longest * self.inner_patience if entry.depth else longest

    def take(
        self, key: tuple[int, int, int], *, oldest: bool
    ) -> queued_call.QueuedCall:
        """Take one call out of a group."""
        group = self.groups[key]
        entry = group.popleft() if oldest else group.pop()
        self.shrink(key)
        return entry

    def shrink(self, key: tuple[int, int, int]) -> None:
        """Note that a group has one call less."""
        self.size -= 1
        if not self.groups[key]:
            del self.groups[key]


def find_key(entry: queued_call.QueuedCall) -> tuple[int, int, int]:
    """Return the group of a call; lower groups are served first."""
    return int(entry.request_class), entry.band, -entry.depth
