"""Simulated load of clients that return after a refusal."""

import collections
import collections.abc
import heapq
import random

from oleanderknot import decisions

WINDOW_S = 0.1

# Shortest time left in which a client still returns.
MIN_RETURN_S = 0.05

# Calls that the queue of the simulated service holds.
QUEUE_CALLS = 20
SERVICE_TIME_S = 0.02


class ReturnLoad:
    """Plays requests to one service, whose level decides on each of them.

    Attributes:
        capacity: Requests per second that the service ends.
        timeout_s: Seconds after which a client gives up.
        memory: Refusals of clients; None if they are not remembered.
        counts: Number of requests by ``new`` or ``returned`` and outcome.
        windows: The same by window.
        gave_up: Number of clients that had no time left to return.
    """

    def __init__(
        self, *, capacity: int, timeout_s: float, remember: bool = True
    ) -> None:
        self.rng = random.Random(5)
        self.capacity = capacity
        self.timeout_s = timeout_s
        self.memory = (
            decisions.RefusalMemory(capacity=10000) if remember else None
        )
        self.schedule = decisions.ReturnSchedule(now=0.0)
        self.level = decisions.AdmissionLevel(now=0.0)
        self.backlog = 0.0
        self.last_at = 0.0
        self.counts: collections.Counter[str] = collections.Counter()
        self.windows: dict[int, collections.Counter[str]] = {}
        self.gave_up = 0

    def play(
        self, seconds: float, find_rate: collections.abc.Callable[[float], int]
    ) -> None:
        """Play new requests at a rate, and the returns of refused clients."""
        events = []
        at = 0.0
        while at < seconds:
            at += self.rng.expovariate(find_rate(at))
            events.append((at, len(events), at + self.timeout_s, 0))
        heapq.heapify(events)
        while events and events[0][0] < seconds:
            now, client, deadline, refusals = heapq.heappop(events)
            wait_s = self.send(now, b'%d' % client, deadline, refusals)
            if wait_s is None:
                continue
            if wait_s < MIN_RETURN_S:
                self.gave_up += 1
                continue
            heapq.heappush(
                events, (now + wait_s, client, deadline, refusals + 1)
            )

    def send(
        self, now: float, digest: bytes, deadline: float, refusals: int
    ) -> float | None:
        """Decide on a request; returns the wait of a refused one."""
        trace_id = '%032x' % self.rng.getrandbits(128)
        fraction = int(trace_id[-8:], 16) / 2**32
        entry = None
        if self.memory is not None:
            entry = self.memory.match(digest, deadline, now)
        if entry is not None:
            fraction = decisions.assign_fraction(trace_id, earlier=entry)
        admitted = self.admit(1 + fraction, now)
        name = '%s_%s' % (
            'returned' if refusals else 'new',
            'admitted' if admitted else 'refused',
        )
        self.counts[name] += 1
        self.windows.setdefault(int(now / WINDOW_S), collections.Counter())[
            name
        ] += 1
        if admitted:
            self.schedule.count_answer(now)
            return None
        return self.find_wait_s(now, trace_id, digest, deadline, refusals)

    def admit(self, priority: float, now: float) -> bool:
        """Admit a request by the level, unless the queue is full."""
        drained = (now - self.last_at) * self.capacity
        self.backlog = max(0.0, self.backlog - drained)
        self.last_at = now
        admitted = self.level.admit(priority, now)
        if admitted and self.backlog >= QUEUE_CALLS:
            self.level.count_queue_refusal()
            admitted = False
        self.backlog += admitted
        self.level.update_queue_delay(
            max(0, int(self.backlog) - 1) / self.capacity, SERVICE_TIME_S
        )
        return admitted

    def find_wait_s(
        self,
        now: float,
        trace_id: str,
        digest: bytes,
        deadline: float,
        refusals: int,
    ) -> float:
        """Assign the return of a refused client, and remember it."""
        latest_s = (deadline - now) / 3
        entry = decisions.RememberedRefusal(
            refused_at=now,
            return_at=now,
            client_deadline=deadline,
            refusals=refusals + 1,
        )
        fraction = decisions.assign_fraction(
            trace_id, earlier=None if self.memory is None else entry
        )
        earliest_s = (
            decisions.estimate_wait_ms(1 + fraction, self.level.level) / 1000
        )
        earliest_s = min(latest_s, max(0.25, earliest_s))
        if self.memory is None:
            return min(latest_s, earliest_s * (1 + self.rng.random()))
        wait_s = self.schedule.assign(
            now=now,
            earliest_s=earliest_s,
            latest_s=latest_s,
            draw=self.rng.random,
        )
        entry.return_at += wait_s
        self.memory.add(digest, entry, now)
        return wait_s
