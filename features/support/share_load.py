"""Simulated requests of organisations to the upstreams of one service."""

import collections
import heapq
import random

from oleanderknot import decisions
from oleanderknot import model

SERVICE = 'short'
ROUTE = 'log'
SERVICE_TIME_S = 0.02


class Upstream:
    """One upstream with its admission level and the shares of its callers.

    Attributes:
        capacity: Requests per second that it ends.
    """

    def __init__(self, *, capacity: float, fair: bool) -> None:
        self.capacity = capacity
        self.slots = max(1, round(capacity * SERVICE_TIME_S))
        self.level = decisions.AdmissionLevel(now=0.0)
        self.shares = decisions.OrganisationShares(now=0.0) if fair else None
        self.backlog = 0.0
        self.last_at = 0.0

    def admit(self, call: model.Call, now: float) -> bool:
        """Decide on a call that arrives."""
        drained = (now - self.last_at) * self.capacity
        self.backlog = max(0.0, self.backlog - drained)
        self.last_at = now
        self.level.advance(now)
        if self.shares is not None:
            self.shares.count(call, call.request_class)
        admitted = self.level.admit(decisions.rank_call(call), now)
        if admitted and self.backlog >= 3 * self.slots:
            self.level.count_queue_refusal()
            admitted = False
        self.backlog += admitted
        self.level.update_queue_delay(
            max(0.0, self.backlog - self.slots) / self.capacity,
            SERVICE_TIME_S,
        )
        if not admitted and self.shares is not None:
            self.shares.count_refusal(call.request_class)
        return admitted

    def build_report(self, now: float) -> model.LoadReport:
        """Build the report that the answer to a call carries."""
        return model.LoadReport(
            service=SERVICE,
            route=ROUTE,
            level=self.level.level,
            in_flight=0,
            limit=10,
            excess=self.shares and self.shares.refresh(self.level.level, now),
        )


class FirstNode:
    """A node that receives requests of clients, with what was reported."""

    def __init__(self, *, upstreams: int, rng: random.Random) -> None:
        self.loads = [
            decisions.InstanceLoad(limit=10) for _ in range(upstreams)
        ]
        self.view = decisions.ExcessView()
        self.probes = decisions.ProbeLimiter()
        self.rng = rng

    def choose(self, call: model.Call, now: float) -> int | None:
        """Choose an upstream that admits a call, or one to probe."""
        number = decisions.rank_call(call)
        for find in (
            lambda load: load.find_reported_level(ROUTE, now),
            lambda load: load.estimate_level(ROUTE, now),
        ):
            found = [
                index
                for index, load in enumerate(self.loads)
                if number < find(load)
            ]
            if found:
                break
        if not found or (
            number >= self.loads[found[0]].find_reported_level(ROUTE, now)
            and not self.probes.try_acquire(ROUTE, now)
        ):
            return None
        return self.rng.choice(found)


class ShareLoad:
    """Plays requests of organisations through first nodes to upstreams.

    Attributes:
        nodes: Number of requests per second that each first node receives
            relative to the others.
        sent: Number of requests by what ``find_groups`` returns for them.
        served: Number of those that were served.
    """

    def __init__(
        self,
        *,
        capacity: float,
        upstreams: int = 3,
        nodes: tuple[float, ...] = (1.0,) * 6,
        fair: bool = True,
    ) -> None:
        self.rng = random.Random(7)
        self.nodes = nodes
        self.upstreams = [
            Upstream(capacity=capacity / upstreams, fair=fair)
            for _ in range(upstreams)
        ]
        self.first_nodes = [
            FirstNode(upstreams=upstreams, rng=self.rng) for _ in nodes
        ]
        self.now = 0.0
        self.sent: collections.Counter[str] = collections.Counter()
        self.served: collections.Counter[str] = collections.Counter()

    def play(self, rates: dict[str, float], seconds: float) -> None:
        """Play requests; counts anew from the middle of the time on.

        Args:
            rates: Requests per second by organisation.
            seconds: Duration.
        """
        names, weights = list(rates), list(rates.values())
        middle, end = self.now + seconds / 2, self.now + seconds
        total = sum(weights)
        reports: list[tuple[float, int, int, model.LoadReport]] = []
        while self.now < end:
            self.now += self.rng.expovariate(total)
            while reports and reports[0][0] <= self.now:
                at, _, node, upstream, report = heapq.heappop(reports)
                self.first_nodes[node].loads[upstream].apply_report(report, at)
                self.first_nodes[node].view.apply([report], at)
            if middle <= self.now and middle:
                middle = 0.0
                self.sent.clear()
                self.served.clear()
            (name,) = self.rng.choices(names, weights)
            (node,) = self.rng.choices(range(len(self.nodes)), self.nodes)
            call = self.build_call(name, self.first_nodes[node])
            groups = (name, 'node %d' % node, 'all')
            self.sent.update(groups)
            upstream = self.first_nodes[node].choose(call, self.now)
            if upstream is None:
                continue
            item = self.upstreams[upstream]
            if item.admit(call, self.now):
                self.served.update(groups)
            heapq.heappush(
                reports,
                (
                    self.now + SERVICE_TIME_S,
                    self.sent['all'],
                    node,
                    upstream,
                    item.build_report(self.now),
                ),
            )

    def build_call(self, name: str, node: FirstNode) -> model.Call:
        """Build the call of a request as its first node does."""
        trace_id = '%032x' % self.rng.getrandbits(128)
        excess = node.view.find(SERVICE, ROUTE, self.now).get(name, 1.0)
        return model.Call(
            service=SERVICE,
            method='GET',
            path='/',
            headers=[],
            request_class=model.RequestClass.BROWSING,
            deadline=self.now + 9.0,
            trace_id=trace_id,
            span_id='r1',
            route=ROUTE,
            organisation=name,
            rank=decisions.assign_fraction(trace_id, excess=excess)
            if excess > 1
            else None,
        )

    def find_share(self, *groups: str) -> float:
        """Return the share of the requests of groups that were served."""
        return sum(self.served[item] for item in groups) / sum(
            self.sent[item] for item in groups
        )
