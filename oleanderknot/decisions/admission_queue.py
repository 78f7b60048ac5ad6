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
MAX_DELAY_SERVICE_TIMES = 2.0

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
        above_target_since: Monotonic time in seconds since which the oldest
            call has waited too long; None when it has not.
        overloaded: Whether that has lasted long enough to change the order.
        nested_wait_factor: How many times as long as a new request a nested
            call of a running request may wait.
    """

    def __init__(
        self, *, capacity: int, nested_wait_factor: float = 1.0
    ) -> None:
        self.capacity = capacity
        self.nested_wait_factor = nested_wait_factor
        self.groups: dict[
            tuple[int, int, int], collections.deque[queued_call.QueuedCall]
        ] = {}
        self.size = 0
        self.above_target_since: float | None = None
        self.overloaded = False

    def push(self, entry: queued_call.QueuedCall, now: float) -> Dropped:
        """Add a call; when the queue is full the least important leaves.

        Args:
            entry: The call.
            now: Monotonic time in seconds.

        Returns:
            Calls that are refused, perhaps the new one, with the rule.
        """
        self.update_overload(now)
        dropped = self.drop_overdue(now)
        key = find_group_key(entry)
        if self.size >= self.capacity:
            last_key = max(self.groups)
            if key > last_key or (key == last_key and not self.overloaded):
                return [*dropped, (entry, model.Rule.QUEUE_FULL)]
            evicted = self.pop_from_group(last_key, oldest=self.overloaded)
            dropped.append((evicted, model.Rule.QUEUE_FULL))
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
        self.update_overload(now)
        dropped: Dropped = []
        chosen = None
        while self.size:
            entry = self.pop_from_group(
                min(self.groups), oldest=not self.overloaded
            )
            if not entry.will_miss_deadline(now):
                chosen = entry
                break
            dropped.append((entry, model.Rule.DEADLINE))
        # Late calls are refused only after one was chosen, so that a slot
        # is not left unused when all calls in the queue are late.
        dropped += self.drop_overdue(now)
        return chosen, dropped

    def remove(self, entry: queued_call.QueuedCall) -> None:
        """Take out a call whose caller has left, if it still waits."""
        key = find_group_key(entry)
        group = self.groups.get(key)
        if group is None or entry not in group:
            return
        group.remove(entry)
        self.count_removal(key)

    def update_overload(self, now: float) -> None:
        """Note whether the oldest call has waited too long."""
        due = min(
            (
                group[0].arrived_at + max(TARGET_DELAY_S, group[0].expected_s)
                for group in self.groups.values()
            ),
            default=now,
        )
        if now <= due:
            self.above_target_since = None
            self.overloaded = False
            return
        if self.above_target_since is None:
            self.above_target_since = due
        self.overloaded = now - self.above_target_since >= OVERLOAD_AFTER_S

    def drop_overdue(self, now: float) -> Dropped:
        """Take out calls that have waited too long under overload."""
        dropped: Dropped = []
        if not self.overloaded:
            return dropped
        for key in list(self.groups):
            group = self.groups[key]
            while group:
                entry = group[0]
                if now - entry.arrived_at <= self.find_max_delay(entry):
                    break
                group.popleft()
                late = entry.will_miss_deadline(now)
                rule = model.Rule.DEADLINE if late else model.Rule.QUEUE_DELAY
                dropped.append((entry, rule))
                self.size -= 1
            if not group:
                del self.groups[key]
        return dropped

    def find_max_delay(self, entry: queued_call.QueuedCall) -> float:
        """Return the seconds after which overload refuses a call."""
        max_delay_s = max(
            MAX_DELAY_S, MAX_DELAY_SERVICE_TIMES * entry.expected_s
        )
        return (
            max_delay_s * self.nested_wait_factor
            if entry.depth
            else max_delay_s
        )

    def pop_from_group(
        self, key: tuple[int, int, int], *, oldest: bool
    ) -> queued_call.QueuedCall:
        """Take one call out of a group."""
        group = self.groups[key]
        entry = group.popleft() if oldest else group.pop()
        self.count_removal(key)
        return entry

    def count_removal(self, key: tuple[int, int, int]) -> None:
        """Note that a group has one call less."""
        self.size -= 1
        if not self.groups[key]:
            del self.groups[key]


def find_group_key(entry: queued_call.QueuedCall) -> tuple[int, int, int]:
    """Return the group of a call; lower groups are served first."""
    return int(entry.request_class), entry.band, -entry.depth
