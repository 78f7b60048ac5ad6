"""Simulated nodes and clients that share the limit of an organisation."""

import bisect
import collections
import random

from features.support import quota_node
from features.support import virtual_loop
from oleanderknot import model

# One-way latency within and between data centres, in seconds.
LATENCY_S = {True: 0.0002, False: 0.0005}

# Time until all nodes have learnt that one has died, in seconds.
DETECTION_S = 4.5

# Time after which a connection that does not respond is overdue, in seconds.
OVERDUE_S = 0.6

ORGANISATION = 'vine'


class QuotaNetwork:
    """Nodes in several data centres on a virtual clock.

    Attributes:
        loop: Event loop with a virtual clock.
        data_centres: Names of the data centres.
        nodes: Latest process of each node, by instance.
        cut: Pairs of instances without a path, as frozen sets.
        held: Messages to a node that is frozen, by instance.
        held_since: When it was frozen.
        runs: Times at which requests ran.
        refused: Times at which requests were refused.
        counts: Counters of all nodes together.
        store_away: Whether nodes that start cannot read who else there is.
        not_run_share: Share of the requests that are refused as not run.
        sent: Number of requests.
        messages: Number of messages between nodes.
    """

    def __init__(self, *, sizes, rate, burst, seed):
        self.loop = virtual_loop.build_loop()
        self.rng = random.Random(seed)
        self.data_centres = ['dc%d' % number for number in range(len(sizes))]
        self.nodes = {}
        self.cut = set()
        self.held = {}
        self.held_since = {}
        self.runs = []
        self.refused = []
        self.counts = collections.Counter()
        self.store_away = False
        self.not_run_share = 0.0
        self.sent = 0
        self.messages = 0
        self.set_policy(rate, burst)
        self.loop.run_until_complete(self.start_all(sizes))

    async def start_all(self, sizes):
        """Start all nodes."""
        for number, size in enumerate(sizes):
            for index in range(size):
                self.start('n%d-%d' % (number, index), 'dc%d' % number)

    def set_policy(self, rate, burst):
        """Put a limit in force at all nodes."""
        self.organisation = model.Organisation(
            name=ORGANISATION, rate=rate, burst=burst
        )
        self.put_organisations([self.organisation])

    def put_organisations(self, organisations):
        """Put a policy with organisations in force at all nodes."""
        self.policy = model.TrafficPolicy(
            version=1,
            routes=(),
            probe_paths={},
            limits=model.ClientLimits(),
            organisations=tuple(organisations),
        )
        for node in self.nodes.values():
            node.quota.apply_policy(self.policy)

    def start(self, name, data_centre):
        """Start a process of a node, and let all others learn of it."""
        before = self.nodes.get(name)
        node = quota_node.QuotaNode(
            network=self,
            name=name,
            data_centre=data_centre,
            incarnation=before.identity.incarnation + 1 if before else 1,
            policy=self.policy,
        )
        self.nodes[name] = node
        for other in list(self.nodes.values()):
            if other is node or (
                other.running and self.reaches(name, other.identity.instance)
            ):
                node.table.merge(
                    [self.build_record(other), *other.list_ended()]
                )
                other.table.merge([self.build_record(node)])

    def build_record(self, node, state=model.MemberState.TAKING):
        """Return the membership record of a node."""
        return model.Member(
            instance=node.identity.instance,
            incarnation=node.identity.incarnation,
            version=1,
            state=state,
            data_centre=node.identity.data_centre,
            host='127.0.0.1',
            peer_port=1,
        )

    def tell_all(self, node, state):
        """Let all nodes learn the state of a node."""
        for other in self.nodes.values():
            other.table.merge([self.build_record(node, state)])

    def kill(self, name):
        """Kill a node; others declare it dead unless it is back by then."""
        node = self.nodes[name]
        node.stop()

        def declare_dead():
            if self.nodes[name] is node:
                self.tell_all(node, model.MemberState.DEAD)

        self.loop.call_later(DETECTION_S, declare_dead)

    def restart(self, name):
        """Start a killed node again."""
        self.start(name, self.nodes[name].identity.data_centre)

    def isolate(self, names, others=None):
        """Cut some nodes off from the others."""
        others = set(self.nodes) - set(names) if others is None else others
        self.cut |= {
            frozenset((name, other)) for name in names for other in others
        }

    def heal(self):
        """End all cuts, and let all nodes learn of each other."""
        self.cut.clear()
        self.store_away = False
        for node in self.nodes.values():
            if node.running:
                self.tell_all(node, model.MemberState.TAKING)

    def declare_cut_off(self, name):
        """Let a node behind a cut declare those beyond it dead."""

        def declare():
            for other in self.nodes.values():
                if not self.reaches(name, other.identity.instance):
                    self.nodes[name].table.merge(
                        [self.build_record(other, model.MemberState.DEAD)]
                    )

        self.loop.call_later(DETECTION_S, declare)

    def freeze(self, name):
        """Hold all messages from and to a node."""
        self.held[name] = []
        self.held_since[name] = self.loop.time()

    def resume(self, name):
        """Deliver the messages that were held."""
        for sender, receiver, message in self.held.pop(name):
            self.deliver(sender, receiver, message)

    def is_running(self, name):
        """Return whether a node has a process."""
        return name in self.nodes and self.nodes[name].running

    def is_isolated(self, name):
        """Return whether a node has reached no other since its start."""
        return len(self.nodes[name].table.list_live()) <= 1 < len(self.nodes)

    def list_unreached(self, name):
        """Return the nodes of its data centre that a node has not reached.

        The store lists all nodes that were ever started.
        """
        node = self.nodes[name]
        live = {member.instance for member in node.table.list_live()}
        return [
            other.identity.instance
            for other in self.nodes.values()
            if other.identity.data_centre == node.identity.data_centre
            and other.identity.instance not in live
        ]

    def is_overdue(self, name):
        """Return whether connections to a node are found not to respond."""
        return (
            name in self.held
            and self.loop.time() - self.held_since[name] > OVERDUE_S
        )

    def reaches(self, sender, receiver):
        """Return whether a node could connect to another."""
        return (
            self.is_running(receiver)
            and frozenset((sender, receiver)) not in self.cut
        )

    def deliver(self, sender, receiver, message):
        """Deliver a message after the latency of its path."""
        self.messages += 1
        for name in (sender, receiver):
            if name in self.held:
                self.held[name].append((sender, receiver, message))
                return
        if frozenset((sender, receiver)) in self.cut:
            return
        near = sender.partition('-')[0] == receiver.partition('-')[0]
        source, node = self.nodes[sender], self.nodes[receiver]

        def arrive():
            if node.running and source.running:
                node.receive(sender, message)

        if source.running:
            self.loop.call_later(LATENCY_S[near], arrive)

    async def request(self, name):
        """Send a request of the organisation to a node."""
        node = self.nodes[name]
        if not node.running or name in self.held:
            return
        self.sent += 1
        wait_s = await node.quota.acquire(self.organisation)
        now = self.loop.time()
        if wait_s is not None:
            self.refused.append(now)
        elif self.rng.random() < self.not_run_share:
            self.loop.call_later(0.05, node.quota.give_back, ORGANISATION, now)
        elif node.running:
            self.runs.append(now)

    def play(self, span_s, rate, names=None):
        """Send requests at a mean rate for some time.

        Args:
            span_s: Time in seconds.
            rate: Requests per second; 0 for none.
            names: Nodes that receive them; all by default.
        """
        names = list(names or self.nodes)
        end = self.loop.time() + span_s

        def arrive():
            if self.loop.time() < end:
                self.loop.create_task(self.request(self.rng.choice(names)))
                self.loop.call_later(self.rng.expovariate(rate), arrive)

        if rate:
            self.loop.call_later(self.rng.expovariate(rate), arrive)
        self.loop.call_later(span_s, self.loop.stop)
        self.loop.run_forever()

    def find_most_runs(self, window_s, since=0.0):
        """Return the largest number of requests that ran in a window."""
        runs = [at for at in sorted(self.runs) if at >= since]
        return max(
            (
                bisect.bisect_left(runs, at + window_s) - index
                for index, at in enumerate(runs)
            ),
            default=0,
        )

    async def stop_all(self):
        """Stop all nodes."""
        for node in self.nodes.values():
            if node.running:
                node.stop()

    def close(self):
        """Stop all nodes and the loop."""
        self.loop.run_until_complete(self.stop_all())
        self.loop.close()
