"""Admission control for the upstream of this node."""

import asyncio
import collections.abc
import random

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import permit as permits

# Queue capacity for each slot of the upstream.
QUEUE_ENTRIES_PER_SLOT = 2

# Factor by which a nested call of a running request may wait longer than a
# root request. Its refusal wastes the work of all services that called it.
NESTED_WAIT_FACTOR = 3.0

# Time for a refusal to reach the node of the caller, which gives up at the
# deadline and then cannot tell whether the call has run.
REFUSAL_MARGIN_S = 0.02

# Bits of the number that tells the starts of an upstream apart.
START_BITS = 62

# Takes seconds.
MeasureFunction = collections.abc.Callable[[float], None]

REFUSAL_DETAILS = {
    model.Rule.LEVEL: 'the upstream is overloaded and admits only calls that'
    ' matter more',
    model.Rule.QUEUE_FULL: 'the queue of the upstream is full',
    model.Rule.QUEUE_DELAY: 'the call waited too long in the queue',
    model.Rule.DEADLINE: 'the call cannot end before its deadline',
    model.Rule.LEAVING: 'the upstream is leaving',
}


def build_speed_meter() -> decisions.SpeedMeter:
    """Build the measurement of a new start of the upstream."""
    return decisions.SpeedMeter(start=random.getrandbits(START_BITS))


def ignore_duration(seconds: float) -> None:
    """Ignore a duration; the default when no metric is recorded."""


class Admission:
    """Owns the permits, the queue and the admission level of the upstream.

    Attributes:
        level: Adjusts the admission level.
        limit: Adjusts the number of calls that may run at once.
        queue: Calls that wait for a permit.
        times: Estimates the service time of calls.
        speed: Measures the own time of calls, for the load reports.
        rate_limit: Limits the calls a second.
        start_timer: Starts queued calls once the rate limit allows one; None
            while no call waits for that.
        running: Calls that run now.
        shed_nested: Whether the level also refuses calls of requests that an
            upstream already works on; such a refusal wastes that work.
        sole_sender: Whether no other node sends to the upstream. Its
            refusals then do not come from too many calls at once, and a
            lower limit would only leave its slots unused; the level falls
            instead.
        measure_wait: Takes the seconds that a call spent in the queue.
    """

    def __init__(
        self,
        *,
        slots: int,
        warm: bool = False,
        shed_nested: bool = True,
        sole_sender: bool = False,
        nested_wait_factor: float = NESTED_WAIT_FACTOR,
        measure_wait: MeasureFunction = ignore_duration,
        rate_limit: decisions.RateLimit | None = None,
    ) -> None:
        self.rate_limit = rate_limit or decisions.RateLimit()
        self.start_timer: asyncio.TimerHandle | None = None
        self.measure_wait = measure_wait
        self.shed_nested = shed_nested
        self.sole_sender = sole_sender
        self.loop = asyncio.get_running_loop()
        now = self.loop.time()
        self.level = decisions.AdmissionLevel(now=now)
        self.limit = decisions.ConcurrencyLimit(
            slots=slots, now=now, warm=warm
        )
        self.queue = decisions.AdmissionQueue(
            capacity=QUEUE_ENTRIES_PER_SLOT * slots,
            nested_wait_factor=nested_wait_factor,
        )
        self.times = decisions.ServiceTimes()
        self.speed = build_speed_meter()
        self.running = 0

    def has_room(self, priority: float) -> bool:
        """Return whether a call would start at once.

        Args:
            priority: Priority number of the call.
        """
        return (
            self.may_start(self.loop.time()) and priority < self.find_level()
        )

    def may_start(self, now: float) -> bool:
        """Return whether the limits allow a call to start."""
        return (
            self.running < self.limit.find_max_running()
            and not self.rate_limit.find_wait_s(now)
        )

    def find_level(self) -> float:
        """Return the admission level; it also rises while no call arrives."""
        self.level.advance(self.loop.time())
        return self.level.level

    async def acquire(
        self, call: model.Call, bonus: float = 0.0
    ) -> permits.Permit | model.Refusal:
        """Wait until a call may run.

        Args:
            call: The call.
            bonus: Amount by which its priority number and class are lowered.

        Returns:
            A permit, to be given back by ``release``, or why the call must not
            run.

        Raises:
            asyncio.CancelledError: The caller disconnected; no permit is kept.
        """
        now = self.loop.time()
        priority = decisions.rank_call(call)
        priority = max(0.0, priority - bonus)
        admitted = self.level.admit(priority, now)
        if not admitted and (self.shed_nested or not call.depth):
            return self.refuse(call, model.Rule.LEVEL)
        expected = self.times.expect(call.method, call.route, now)
        if now + expected >= call.deadline:
            return self.refuse(call, model.Rule.DEADLINE)
        if not self.queue.size and self.may_start(now):
            return self.start(now)
        entry = decisions.QueuedCall(
            request_class=model.RequestClass(
                max(0, call.request_class - int(bonus))
            ),
            depth=call.depth,
            arrived_at=now,
            deadline=call.deadline,
            expected_s=expected,
            band=decisions.find_call_band(call),
            token=self.loop.create_future(),
        )
        self.resolve_dropped(self.queue.push(entry, now))
        self.update_queue_delay(expected)
        self.schedule_start(now)
        return await self.wait_in_queue(call, entry)

    async def wait_in_queue(
        self, call: model.Call, entry: decisions.QueuedCall
    ) -> permits.Permit | model.Refusal:
        """Wait in the queue while the call can still end in time."""
        future = entry.token
        latest = call.deadline - max(REFUSAL_MARGIN_S, entry.expected_s)
        timer = self.loop.call_at(latest, self.expire, entry)
        try:
            outcome = await future
        except asyncio.CancelledError:
            self.abandon(entry)
            raise
        finally:
            timer.cancel()
            self.measure_wait(self.loop.time() - entry.arrived_at)
        if isinstance(outcome, permits.Permit):
            return outcome
        return self.refuse(call, outcome)

    def abandon(self, entry: decisions.QueuedCall) -> None:
        """Cancel a call that is queued or has just been given a permit."""
        future = entry.token
        if future.done() and not future.cancelled():
            # The permit was granted in the same turn of the event loop in
            # which the waiter was cancelled.
            if isinstance(future.result(), permits.Permit):
                self.release(future.result())
            return
        self.queue.remove(entry)

    def expire(self, entry: decisions.QueuedCall) -> None:
        """Refuse a call that can no longer end before its deadline."""
        self.queue.remove(entry)
        self.resolve_dropped([(entry, model.Rule.DEADLINE)])

    def resolve_dropped(
        self, dropped: list[tuple[decisions.QueuedCall, model.Rule]]
    ) -> None:
        """Wake the waiters of calls that the queue refused."""
        for entry, rule in dropped:
            if rule is model.Rule.QUEUE_FULL:
                self.level.count_queue_refusal()
            if not entry.token.done():
                entry.token.set_result(rule)

    def refuse_queued(self, rule: model.Rule) -> None:
        """Refuse all calls that wait for a permit."""
        self.resolve_dropped(self.queue.clear(rule))

    def update_queue_delay(self, expected_s: float) -> None:
        """Update the estimated wait of a call that is queued now."""
        delay_s = self.queue.size * expected_s / self.limit.find_max_running()
        if self.rate_limit.rate is not None:
            delay_s = max(delay_s, self.queue.size / self.rate_limit.rate)
        self.level.update_queue_delay(delay_s, expected_s)

    def start(self, now: float) -> permits.Permit:
        """Grant a permit to a call."""
        self.running += 1
        self.rate_limit.take(now)
        cohort = self.limit.start(self.running, now)
        return permits.Permit(cohort=cohort, started_at=now)

    def record_outcome(
        self,
        call: model.Call,
        permit: permits.Permit,
        *,
        own_time_s: float | None,
        failed: bool,
        refused_by_upstream: bool = False,
    ) -> None:
        """Record the outcome of a call, without releasing its permit.

        Args:
            call: The call.
            permit: Its permit.
            own_time_s: Seconds that the upstream worked on it until the head
                of the answer, without the time that it waited for its own
                outgoing calls; None when it gave no answer.
            failed: Whether the upstream refused it or let it time out.
            refused_by_upstream: Whether the upstream refused it.
        """
        now = self.loop.time()
        permit.outcome_recorded = True
        if refused_by_upstream and self.sole_sender:
            failed = False
            self.level.count_upstream_refusal(decisions.rank_call(call))
        self.limit.finish(
            permit.cohort, now, own_time_s=own_time_s, failed=failed
        )
        if own_time_s is not None and not failed:
            self.times.count(
                call.method, call.route, now - permit.started_at, now
            )
            self.speed.count(call.route, own_time_s)

    def release(self, permit: permits.Permit) -> None:
        """Release a permit and start queued calls within the limit."""
        now = self.loop.time()
        if not permit.outcome_recorded:
            self.limit.finish(permit.cohort, now, own_time_s=None)
        self.running -= 1
        self.level.advance(now)
        self.start_queued(now)

    def start_queued(self, now: float) -> None:
        """Start queued calls within the limits."""
        while self.queue.size and self.may_start(now):
            entry, dropped = self.queue.pop(now)
            self.resolve_dropped(dropped)
            if entry is not None and not entry.token.done():
                self.update_queue_delay(entry.expected_s)
                entry.token.set_result(self.start(now))
        self.schedule_start(now)

    def schedule_start(self, now: float) -> None:
        """Set the timer for queued calls that wait for the rate limit."""
        wait_s = self.rate_limit.find_wait_s(now)
        if self.start_timer is None and self.queue.size and wait_s:
            self.start_timer = self.loop.call_later(
                wait_s, self.start_after_wait
            )

    def start_after_wait(self) -> None:
        """Start queued calls; called by the timer."""
        self.start_timer = None
        self.start_queued(self.loop.time())

    def refuse(self, call: model.Call, rule: model.Rule) -> model.Refusal:
        """Build the refusal of a call that was not started."""
        refusal = model.build_refusal(
            call, model.Verdict.NOT_RUN, rule, REFUSAL_DETAILS[rule]
        )
        priority = decisions.rank_call(call)
        refusal.retry_after_ms = decisions.estimate_wait_ms(
            priority, self.level.level
        )
        return refusal

    def build_report(self, call: model.Call, level: float) -> model.LoadReport:
        """Build the load report for a call's route.

        Args:
            call: The call.
            level: Admission level of the route's whole chain.

        Returns:
            The report.
        """
        return model.LoadReport(
            service=call.service,
            route=call.route,
            level=level,
            in_flight=self.running + self.queue.size,
            limit=self.find_capacity(call),
            own_time_s=self.speed.find(call.route),
            start=self.speed.start,
        )

    def forget_times(self) -> None:
        """Discard all measured times, since the upstream has started anew."""
        self.times = decisions.ServiceTimes()
        self.speed = build_speed_meter()
        self.limit.forget_times()

    def find_capacity(self, call: model.Call) -> int:
        """Return how many calls like this one may run at once.

        At a limited rate, no more than those that start during the service
        time of one (Little's law).
        """
        capacity = self.limit.find_max_running()
        rate = self.rate_limit.rate
        if rate is None:
            return capacity
        expected_s = self.times.expect(
            call.method, call.route, self.loop.time()
        )
        return min(capacity, max(1, round(rate * expected_s)))

    def describe(self) -> dict[str, float]:
        """Describe the load for operators."""
        return {
            'level': self.find_level(),
            'limit': self.limit.find_max_running(),
            'running': self.running,
            'queued': self.queue.size,
            'rate_limit': self.rate_limit.rate or 0.0,
        }
