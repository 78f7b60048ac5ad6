"""Simulated callers and restarts of a node whose upstream names a rate."""

import collections
import heapq
import itertools
import random

from oleanderknot import decisions

# Time of a history at which the upstream begins to name its rate, in seconds.
NAMED_AT_S = 5.0

# Time after an answer from which its caller counts as told, in seconds.
TOLD_AFTER_S = 0.5

# Time after the rate was first named from which it is checked, in seconds.
STABLE_S = 3.0

# Mean time between two restarts of the node, in seconds.
RESTART_PERIOD_S = 5.0

# Probability that a caller restarts or is cut off in a second.
CALLER_FAULT_SHARE = 0.04

MAX_RUNNING = 500
MAX_WAIT_S = 1.0


class RateHistory:
    """Simulates callers, one node and its upstream that names a limit.

    Attributes:
        arrivals: Time of each request that reached the upstream.
        counted: Times of those whose caller had passed on the rate.
        told_at: Time at which each caller was told the limit; it is missing
            for one that was not, or has restarted.
        restarts: Times at which the node restarted.
    """

    def __init__(self, rate, callers, seed, min_service_s):
        self.rate = rate
        self.callers = callers
        self.min_service_s = min_service_s
        self.rng = random.Random(seed)
        self.limit = decisions.RateLimit()
        self.incarnation = 0
        self.running = 0
        self.waiting = collections.deque()
        self.events = []
        self.order = itertools.count()
        self.arrivals = []
        self.told_at = {}
        self.counted = []
        self.restarts = []

    def schedule(self, at, action, *arguments):
        """Add an event."""
        heapq.heappush(self.events, (at, next(self.order), action, arguments))

    def play(self, span_s):
        """Play a history of the given number of seconds."""
        at = 0.0
        while at < span_s:
            demand = self.rate * self.rng.uniform(2, 4)
            at += self.rng.expovariate(demand)
            self.schedule(at, self.call, self.rng.randrange(self.callers))
        at = NAMED_AT_S + STABLE_S
        while (at := at + self.rng.expovariate(1 / RESTART_PERIOD_S)) < span_s:
            self.schedule(at, self.restart)
        for second in range(int(span_s)):
            for caller in range(self.callers):
                if self.rng.random() < CALLER_FAULT_SHARE:
                    at = second + self.rng.random()
                    self.schedule(at, self.disturb_caller, caller)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)

    def call(self, now, caller):
        """Let a caller send a call, with the limit if it was told."""
        if caller in self.told_at:
            self.limit.adopt(self.rate, now)
        self.waiting.append((now, caller))
        self.start_waiting(now)

    def start_waiting(self, now):
        """Start the calls that the limit allows."""
        while self.waiting and now - self.waiting[0][0] > MAX_WAIT_S:
            self.waiting.popleft()
        while self.waiting and self.running < MAX_RUNNING:
            wait_s = self.limit.find_wait_s(now)
            if wait_s:
                self.schedule(now + wait_s, self.start_waiting)
                return
            _, caller = self.waiting.popleft()
            self.limit.take(now)
            self.running += 1
            self.arrivals.append(now)
            if self.told_at.get(caller, now) <= now - TOLD_AFTER_S:
                self.counted.append(now)
            took_s = self.min_service_s * self.rng.uniform(1, 4)
            self.schedule(now + took_s, self.answer, caller, self.incarnation)

    def answer(self, now, caller, incarnation):
        """Let the upstream answer; a restarted node passes nothing on."""
        if incarnation != self.incarnation:
            return
        self.running -= 1
        if now >= NAMED_AT_S:
            self.limit.note_answer(self.rate, now)
            self.told_at.setdefault(caller, now)
        else:
            self.limit.note_answer(None, now)
        self.start_waiting(now)

    def restart(self, now):
        """Restart the node, which forgets all."""
        self.incarnation += 1
        self.running = 0
        self.waiting.clear()
        self.limit = decisions.RateLimit()
        self.restarts.append(now)

    def disturb_caller(self, now, caller):
        """Restart a caller, or cut it off; it no longer counts as told."""
        self.told_at.pop(caller, None)
