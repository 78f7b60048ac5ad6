"""Admits calls to the own upstream."""

import asyncio
import collections.abc
import dataclasses

from oleanderknot import decisions
from oleanderknot import model

# Entries of the queue for each slot.
QUEUE_SHARE = 2

# How many times as long a call of running work may wait as a new request. Its
# refusal wastes the work of all services above.
INNER_PATIENCE = 3.0

# Time for a refusal to reach the node of the caller, which gives up at the
# deadline and then cannot tell whether the call has run.
REFUSAL_S = 0.02

# Takes seconds.
MeasureFunction = collections.abc.Callable[[float], None]

DETAILS = {
    model.Rule.LEVEL: 'the upstream is overloaded and admits only calls that'
    ' matter more',
    model.Rule.QUEUE_FULL: 'the queue of the upstream is full',
    model.Rule.QUEUE_DELAY: 'the call waited too long in the queue',
    model.Rule.DEADLINE: 'the call cannot end before its deadline',
}


@dataclasses.dataclass(slots=True, kw_only=True)
class Place:
    """The right of one call to run at the upstream.

    Attributes:
        cohort: Window that the call started in.
        started_at: Time of the event loop in seconds at the start.
        reported: Whether the limit knows the outcome.
    """

    cohort: decisions.CallCohort
    started_at: float
    reported: bool = False


def ignore_time(seconds: float) -> None:
    """Take a time that nobody measures."""


class Admission:
    """Owns the places, the queue and the admission level of the upstream.

    Attributes:
        level: Moves the admission level.
        limit: Moves the number of calls that may run at once.
        queue: Calls that wait for a place.
        times: Expected time of calls.
        running: Calls that run now.
        shed_inner: Whether the level also refuses calls of requests that an
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
        shed_inner: bool = True,
        sole_sender: bool = False,
        inner_patience: float = INNER_PATIENCE,
        measure_wait: MeasureFunction = ignore_time,
    ) -> None:
        self.measure_wait = measure_wait
        self.shed_inner = shed_inner
        self.sole_sender = sole_sender
        self.loop = asyncio.get_running_loop()
        now = self.loop.time()
        self.level = decisions.AdmissionLevel(now=now)
        self.limit = decisions.ConcurrencyLimit(
            slots=slots, now=now, warm=warm
        )
        self.queue = decisions.AdmissionQueue(
            capacity=QUEUE_SHARE * slots, nested_wait_factor=inner_patience
        )
        self.times = decisions.ServiceTimes()
        self.running = 0

    def has_room(self, priority: float) -> bool:
        """Return whether a call would start at once.

        Args:
            priority: Priority number of the call.
        """
        return (
            self.running < self.limit.find_max_running()
            and priority < self.find_level()
        )

    def find_level(self) -> float:
        """Return the admission level; it rises also while no call comes."""
        self.level.advance(self.loop.time())
        return self.level.level

    async def enter(
        self, call: model.Call, bonus: float = 0.0
    ) -> Place | model.Refusal:
        """Wait until a call may run.

        Args:
            call: The call.
            bonus: How much its priority number and class are improved.

        Returns:
            A place, to be given back by ``leave``, or why the call must not
            run.

        Raises:
            asyncio.CancelledError: The caller has left; nothing is kept.
        """
        now = self.loop.time()
        priority = decisions.compute_priority(
            call.request_class, call.trace_id
        )
        priority = max(0.0, priority - bonus)
        admitted = self.level.admit(priority, now)
        if not admitted and (self.shed_inner or not call.depth):
            return self.refuse(call, model.Rule.LEVEL)
        expected = self.times.expect(call.method, call.route, now)
        if now + expected >= call.deadline:
            return self.refuse(call, model.Rule.DEADLINE)
        if (
            not self.queue.size
            and self.running < self.limit.find_max_running()
        ):
            return self.start(now)
        entry = decisions.QueuedCall(
            request_class=model.RequestClass(
                max(0, call.request_class - int(bonus))
            ),
            depth=call.depth,
            arrived_at=now,
            deadline=call.deadline,
            expected_s=expected,
            band=decisions.find_band(call.trace_id),
            token=self.loop.create_future(),
        )
        self.drop(self.queue.push(entry, now))
        self.note_queue(expected)
        return await self.wait(call, entry)

    async def wait(
        self, call: model.Call, entry: decisions.QueuedCall
    ) -> Place | model.Refusal:
        """Wait in the queue while the call can still end in time."""
        future = entry.token
        latest = call.deadline - max(REFUSAL_S, entry.expected_s)
        timer = self.loop.call_at(latest, self.expire, entry)
        try:
            outcome = await future
        except asyncio.CancelledError:
            self.abandon(entry)
            raise
        finally:
            timer.cancel()
            self.measure_wait(self.loop.time() - entry.arrived_at)
        if isinstance(outcome, Place):
            return outcome
        return self.refuse(call, outcome)

    def abandon(self, entry: decisions.QueuedCall) -> None:
        """Give up a call that waits or has just been given a place."""
        future = entry.token
        if future.done() and not future.cancelled():
            # The place was granted in the same turn of the event loop in
            # which the waiter was cancelled.
            if isinstance(future.result(), Place):
                self.leave(future.result())
            return
        self.queue.remove(entry)

    def expire(self, entry: decisions.QueuedCall) -> None:
        """Refuse a call that can no longer end before its deadline."""
        self.queue.remove(entry)
        self.drop([(entry, model.Rule.DEADLINE)])

    def drop(
        self, dropped: list[tuple[decisions.QueuedCall, model.Rule]]
    ) -> None:
        """Wake calls that the queue refused."""
        for entry, rule in dropped:
            if rule is model.Rule.QUEUE_FULL:
                self.level.count_queue_refusal()
            if not entry.token.done():
                entry.token.set_result(rule)

    def note_queue(self, expected_s: float) -> None:
        """Tell the level how long a call queued now would wait."""
        delay_s = self.queue.size * expected_s / self.limit.find_max_running()
        self.level.update_queue_delay(delay_s, expected_s)

    def start(self, now: float) -> Place:
        """Give a place to a call."""
        self.running += 1
        cohort = self.limit.start(self.running, now)
        return Place(cohort=cohort, started_at=now)

    def answer(
        self,
        call: model.Call,
        place: Place,
        *,
        own_time_s: float | None,
        failed: bool,
        turned_away: bool = False,
    ) -> None:
        """Take the outcome of a call; the place stays taken.

        Args:
            call: The call.
            place: Its place.
            own_time_s: Seconds that the upstream worked on it until the head
                of the answer, without the time that it waited for its own
                outgoing calls; None when it gave no answer.
            failed: Whether the upstream refused it or let it time out.
            turned_away: Whether the upstream refused it.
        """
        now = self.loop.time()
        place.reported = True
        if turned_away and self.sole_sender:
            failed = False
            self.level.count_upstream_refusal()
        self.limit.finish(
            place.cohort, now, own_time_s=own_time_s, failed=failed
        )
        if own_time_s is not None and not failed:
            self.times.count(
                call.method, call.route, now - place.started_at, now
            )

    def leave(self, place: Place) -> None:
        """Give a place back and start the calls that now fit."""
        now = self.loop.time()
        if not place.reported:
            self.limit.finish(place.cohort, now, own_time_s=None)
        self.running -= 1
        self.level.advance(now)
        while self.queue.size and self.running < self.limit.find_max_running():
            entry, dropped = self.queue.pop(now)
            self.drop(dropped)
            if entry is not None and not entry.token.done():
                self.note_queue(entry.expected_s)
                entry.token.set_result(self.start(now))

    def refuse(self, call: model.Call, rule: model.Rule) -> model.Refusal:
        """Build the refusal of a call that was not started."""
        refusal = model.build_refusal(
            call, model.Verdict.NOT_RUN, rule, DETAILS[rule]
        )
        priority = decisions.compute_priority(
            call.request_class, call.trace_id
        )
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
            limit=self.limit.find_max_running(),
        )

    def describe(self) -> dict[str, float]:
        """Describe the load for operators."""
        return {
            'level': self.find_level(),
            'limit': self.limit.find_max_running(),
            'running': self.running,
            'queued': self.queue.size,
        }
