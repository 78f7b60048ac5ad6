"""Bounded queue of the calls that wait for a slot at an upstream."""

import collections

from oleanderknot import model
from oleanderknot.decisions import queued_call

# Largest wait of the oldest call without overload: the longer of this and the
# expected time of the call itself. With calls of 400 ms, a switch to newest
# first after 20 ms starved calls that would have met their deadline.
TARGET_DELAY_S = 0.02

# Time for which the delay must exceed its target before the order changes.
OVERLOAD_AFTER_S = 0.1

# Under overload, an entry is refused after the longer of this time and twice
# its service time: with few slots and long calls, the next slot becomes free
# late.
MAX_DELAY_S = 0.1
MAX_DELAY_SERVICE_TIMES = 2.0

Dropped = list[tuple[queued_call.QueuedCall, model.Rule]]


class AdmissionQueue:
    """Orders waiting calls by class, then band, then depth, then age.

    The band is the same for all calls of a request. Under overload, some
    requests therefore get all of their calls served, and the others fail at
    their first call. Ordered by age alone, most requests would get only some
    of their calls served, and fail.

    Among equal calls, the oldest is served first. Under overload, the newest
    is served first, since the oldest would miss its deadline or be retried by
    its caller anyway.

    Attributes:
        capacity: Largest number of waiting calls.
        groups: Waiting calls, oldest first, by class, band and negative depth.
        size: Number of waiting calls.
        above_target_since: Monotonic time in seconds since which the wait of
            the oldest call exceeds its target; None when it does not.
        overloaded: Whether the target has been exceeded for long enough to
            change the order.
        nested_wait_factor: Factor by which a nested call of a running request
            may wait longer than a root request.
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
        """Add a call; a full queue refuses its least important call.

        Args:
            entry: The call.
            now: Monotonic time in seconds.

        Returns:
            Refused calls, possibly the new one, each with its rule.
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
        """Remove and return the call that runs next.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The call or None, and the refused calls, each with its rule.
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
        # Overdue calls are refused only after one was chosen, so that the
        # slot is used when all calls in the queue are overdue.
        dropped += self.drop_overdue(now)
        return chosen, dropped

    def clear(self, rule: model.Rule) -> Dropped:
        """Remove all calls.

        Args:
            rule: Rule of their refusals.

        Returns:
            The calls, each with the rule.
        """
        dropped = [
            (entry, rule) for group in self.groups.values() for entry in group
        ]
        self.groups.clear()
        self.size = 0
        return dropped

    def remove(self, entry: queued_call.QueuedCall) -> None:
        """Remove a call whose caller has disconnected, if it still waits."""
        key = find_group_key(entry)
        group = self.groups.get(key)
        if group is None or entry not in group:
            return
        group.remove(entry)
        self.count_removal(key)

    def update_overload(self, now: float) -> None:
        """Update the overload state from the wait of the oldest call."""
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
        """Remove calls that have waited too long under overload."""
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
        """Return the longest wait of a call under overload, in seconds."""
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
        """Remove and return the oldest or the newest call of a group."""
        group = self.groups[key]
        entry = group.popleft() if oldest else group.pop()
        self.count_removal(key)
        return entry

    def count_removal(self, key: tuple[int, int, int]) -> None:
        """Update the size after a removal from a group."""
        self.size -= 1
        if not self.groups[key]:
            del self.groups[key]


def find_group_key(entry: queued_call.QueuedCall) -> tuple[int, int, int]:
    """Return the group key of a call; lower keys are served first."""
    return int(entry.request_class), entry.band, -entry.depth
