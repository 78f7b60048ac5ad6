"""Plays the calls of many nodes to the upstreams of one service.

It shows how evenly a choice spreads the load. Nodes know an upstream only by
the reports on the answers that they receive. Nothing is sent, no clock is
read, and a seed decides everything.
"""

import collections.abc
import heapq
import itertools
import math
import random

from features.support import played_call
from features.support import played_upstream
from features.support import spread
from features.support import spread_deployment
from oleanderknot import decisions
from oleanderknot import model

# One-way delay in seconds within a data centre.
LOCAL_HOP_S = 0.0002

# Share of the calls that is played before anything is counted.
WARM_UP_SHARE = 0.25

# Upstreams that may return a call; the next one keeps it.
MAX_RETURNS = 2

ChooseFunction = collections.abc.Callable[
    ['LoadPlay', played_call.PlayedCall], int
]


class LoadPlay:
    """Owns the state of one play.

    Attributes:
        given: Deployment that is played.
        choose: Returns the number of the upstream for a call.
        returns_waiting: Whether the node of a full upstream returns a call
            that would have to wait.
        upstreams: All upstreams.
        views: What each node knows of the upstreams.
        product_call: Call of the route that is played.
        last_reports: Calls in the last report and its time in seconds, by
            number of the node and of the upstream.
        events: Heap of times, tie breakers, functions and arguments.
        needless: Counted calls that waited although a slot was free.
        remote: Counted calls that ran in another data centre.
        messages: Messages for counted calls.
    """

    def __init__(
        self,
        *,
        given: spread_deployment.SpreadDeployment,
        choose: ChooseFunction,
        returns_waiting: bool = False,
    ) -> None:
        self.given = given
        self.choose = choose
        self.returns_waiting = returns_waiting
        self.rng = random.Random(given.seed)
        self.now = 0.0
        self.numbers = itertools.count()
        self.events: list[tuple] = []
        self.upstreams = [
            played_upstream.PlayedUpstream(
                name='up-%d' % number,
                speed=given.speeds[number % len(given.speeds)],
                # Each data centre has upstreams of each speed.
                data_centre=number // len(given.speeds) % given.data_centres,
                slots=given.slots,
            )
            for number in range(given.upstreams)
        ]
        self.views = [
            decisions.LoadView(
                data_centre='dc-%d' % (number % given.data_centres)
            )
            for number in range(given.nodes)
        ]
        self.last_reports: dict[tuple[int, int], tuple[int, float]] = {}
        members = [build_member(item) for item in self.upstreams]
        for view in self.views:
            for member in members:
                view.find(member)
        self.product_call = build_call()
        self.waits_s: list[float] = []
        self.responses_s: list[float] = []
        self.needless = self.remote = self.messages = 0

    def after(self, delay_s: float, function, *arguments) -> None:
        """Schedule a function."""
        entry = (self.now + delay_s, next(self.numbers), function, arguments)
        heapq.heappush(self.events, entry)

    def is_local(self, node: int, upstream: int) -> bool:
        """Return whether both are in the same data centre."""
        return (
            node % self.given.data_centres
            == self.upstreams[upstream].data_centre
        )

    def find_hop_s(self, node: int, upstream: int) -> float:
        """Return the one-way delay between a node and an upstream."""
        if self.is_local(node, upstream):
            return LOCAL_HOP_S
        return self.given.hop_s

    def find_load(self, node: int, upstream: int) -> decisions.InstanceLoad:
        """Return what a node knows of an upstream."""
        return self.views[node].loads[self.upstreams[upstream].name]

    def run(self) -> spread.Spread:
        """Play all calls to their end."""
        given = self.given
        capacity = sum(item.slots * item.speed for item in self.upstreams)
        rate = given.load * capacity / given.call_s
        at = 0.0
        for number in range(given.calls):
            at += self.rng.expovariate(rate)
            call = played_call.PlayedCall(
                node=self.rng.randrange(given.nodes),
                started_at=at,
                work_s=given.call_s * self.rng.uniform(0.7, 1.3),
                counted=number >= given.calls * WARM_UP_SHARE,
            )
            self.after(at, self.place, call)
        while self.events:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return self.summarise()

    def place(self, call: played_call.PlayedCall) -> None:
        """Choose an upstream and send the call to it."""
        self.send(call, self.choose(self, call))

    def send(self, call: played_call.PlayedCall, upstream: int) -> None:
        """Send a call to an upstream."""
        call.upstream = upstream
        call.sent_at = self.now
        call.messages += 1
        self.find_load(call.node, upstream).outstanding += 1
        self.after(self.find_hop_s(call.node, upstream), self.arrive, call)

    def arrive(self, call: played_call.PlayedCall) -> None:
        """Start, queue or return a call at its upstream."""
        upstream = self.upstreams[call.upstream]
        call.arrived_at = self.now
        if upstream.running < upstream.slots:
            self.start(call)
        elif self.returns_waiting and len(call.tried) < MAX_RETURNS:
            call.tried.add(upstream.name)
            call.messages += 1
            self.after(
                self.find_hop_s(call.node, call.upstream),
                self.take_back,
                call,
                self.build_report(upstream),
            )
        else:
            self.count_needless(call)
            upstream.queue.append(call)

    def count_needless(self, call: played_call.PlayedCall) -> None:
        """Count a call that waits although a slot is free."""
        self.needless += call.counted and any(
            item.running < item.slots for item in self.upstreams
        )

    def take_back(
        self, call: played_call.PlayedCall, report: model.LoadReport
    ) -> None:
        """Place a call again that its upstream has returned."""
        self.find_load(call.node, call.upstream).outstanding -= 1
        self.apply(call.node, call.upstream, report)
        self.place(call)

    def start(self, call: played_call.PlayedCall) -> None:
        """Run a call at its upstream."""
        upstream = self.upstreams[call.upstream]
        upstream.running += 1
        if call.counted:
            self.waits_s.append(self.now - call.arrived_at)
        self.after(call.work_s / upstream.speed, self.finish, call)

    def finish(self, call: played_call.PlayedCall) -> None:
        """End a call at its upstream, and start the next one there."""
        upstream = self.upstreams[call.upstream]
        upstream.running -= 1
        if call.counted:
            upstream.arrivals += 1
            upstream.busy_s += self.now - call.arrived_at
        self.use_slot(upstream)
        call.messages += 1
        self.after(
            self.find_hop_s(call.node, call.upstream),
            self.answer,
            call,
            self.build_report(upstream),
        )

    def use_slot(self, upstream: played_upstream.PlayedUpstream) -> None:
        """Start the next call in the queue, if there is one."""
        if upstream.queue:
            self.start(upstream.queue.popleft())

    def build_report(
        self, upstream: played_upstream.PlayedUpstream
    ) -> model.LoadReport:
        """Build the report that an answer carries."""
        return model.LoadReport(
            service='s',
            route='/',
            level=decisions.MAX_LEVEL,
            in_flight=upstream.running + len(upstream.queue),
            limit=upstream.slots,
            own_time_s=self.given.call_s / upstream.speed,
            start=1,
        )

    def answer(
        self, call: played_call.PlayedCall, report: model.LoadReport
    ) -> None:
        """End a call at its node."""
        load = self.find_load(call.node, call.upstream)
        load.outstanding -= 1
        view = self.views[call.node]
        view.record_call_time(
            self.upstreams[call.upstream].name,
            self.product_call,
            self.now - call.sent_at,
        )
        self.apply(call.node, call.upstream, report)
        if call.counted:
            self.responses_s.append(self.now - call.started_at)
            self.remote += not self.is_local(call.node, call.upstream)
            self.messages += call.messages

    def apply(
        self, node: int, upstream: int, report: model.LoadReport
    ) -> None:
        """Apply a report at a node, unless the last one is too new."""
        name = self.upstreams[upstream].name
        _, noted_at = self.last_reports.get((node, upstream), (0, -math.inf))
        if self.now - noted_at < self.given.report_interval_s:
            return
        self.views[node].apply_reports(name, [report], self.now)
        self.last_reports[node, upstream] = (report.in_flight, self.now)

    def summarise(self) -> spread.Spread:
        """Summarise the counted calls."""
        counted = len(self.responses_s)
        busy = [item.busy_s / item.slots for item in self.upstreams]
        arrivals = [item.arrivals for item in self.upstreams]
        waits_s = sorted(self.waits_s)
        return spread.Spread(
            busiest=max(busy) * len(busy) / sum(busy),
            arrivals=max(arrivals) * len(arrivals) / sum(arrivals),
            needless=100 * self.needless / counted,
            wait_ms=1000 * sum(waits_s) / counted,
            late_wait_ms=1000 * waits_s[len(waits_s) * 99 // 100],
            response_ms=1000 * sum(self.responses_s) / counted,
            remote=100 * self.remote / counted,
            messages=self.messages / counted,
        )


def build_member(upstream: played_upstream.PlayedUpstream) -> model.Member:
    """Build the record by which nodes know an upstream."""
    return model.Member(
        instance=upstream.name,
        incarnation=1,
        version=1,
        state=model.MemberState.TAKING,
        data_centre='dc-%d' % upstream.data_centre,
        host='127.0.0.1',
        peer_port=1,
        service='s',
        slots=upstream.slots,
    )


def build_call() -> model.Call:
    """Build a call of the route that is played."""
    return model.Call(
        service='s',
        method='GET',
        path='/',
        headers=[],
        request_class=model.RequestClass.BROWSING,
        deadline=0.0,
        trace_id='%032x' % 1,
        span_id='s',
        route='/',
    )
