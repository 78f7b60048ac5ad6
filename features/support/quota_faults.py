"""Failures of a simulated network that limits requests."""

from features.support import quota_network
from oleanderknot import decisions
from oleanderknot import model

# Period in which the homes are looked at, in seconds.
WATCH_S = 0.05


class QuotaFaults:
    """Causes failures of homes and watches that there is one at a time.

    Attributes:
        network: The nodes.
        most_homes: Largest number of nodes of one data centre that could
            create tokens at the same time.
    """

    def __init__(self, *, network):
        self.network = network
        self.most_homes = 0
        network.loop.call_soon(self.watch)

    def watch(self):
        """Count the nodes that may create tokens now."""
        network = self.network
        now = network.loop.time()
        for data_centre in network.data_centres:
            homes = [
                node
                for node in network.nodes.values()
                if node.running
                and node.identity.data_centre == data_centre
                and may_create(node, now)
            ]
            self.most_homes = max(self.most_homes, len(homes))
        network.loop.call_later(WATCH_S, self.watch)

    def list_nodes(self, data_centre):
        """Return the nodes of a data centre, first the homes."""
        return list(
            decisions.order_homes(
                quota_network.ORGANISATION,
                [
                    name
                    for name, node in self.network.nodes.items()
                    if node.identity.data_centre == data_centre
                ],
                100,
            )
        )

    def kill(self, name, restart_after_s=None):
        """Kill a node that runs, and perhaps restart it."""
        if self.network.is_running(name):
            self.network.kill(name)
            if restart_after_s is not None:
                self.network.loop.call_later(
                    restart_after_s, self.network.restart, name
                )

    def leave(self, name, restart_after_s=None):
        """Stop a node in order; all others learn at once that it leaves."""
        node = self.network.nodes[name]
        node.leaving = True
        self.network.tell_all(node, model.MemberState.LEAVING)
        if restart_after_s is not None:
            self.network.loop.call_later(restart_after_s, node.stop)
            self.network.loop.call_later(
                restart_after_s, self.network.restart, name
            )

    def leave_if_running(self, name, restart_after_s):
        """Stop a node in order and restart it, unless it is stopped."""
        node = self.network.nodes[name]
        if node.running and not node.leaving:
            self.leave(name, restart_after_s)

    def restart_behind_cut(self, names, after_s):
        """Cut nodes off from the others, and kill and start them there."""
        self.cut(names, after_s=after_s)
        for name in names:
            self.kill(name, 0.3)

    def cut(self, names, others=None, *, after_s):
        """Cut nodes off from others for some time."""
        self.network.isolate(names, others)
        self.network.loop.call_later(after_s, self.network.heal)

    def freeze(self, name, after_s):
        """Freeze a node for some time."""
        if name not in self.network.held:
            self.network.freeze(name)
            self.network.loop.call_later(after_s, self.network.resume, name)

    def cause(self, failure, after_s):
        """Cause a failure in the first data centre.

        Args:
            failure: Name of the failure, as in the feature.
            after_s: Time in seconds after which it ends, if it ends.
        """
        nodes = self.list_nodes(self.network.data_centres[0])
        if failure == 'the first home is killed':
            self.kill(nodes[0])
        elif failure == 'the first home is killed and restarted':
            self.kill(nodes[0], 1.0)
        elif failure == 'one node is restarted behind a cut':
            self.restart_behind_cut(nodes[-1:], after_s)
        elif failure == 'one of two nodes behind a cut is restarted':
            self.cut(nodes[-2:], after_s=after_s)
            for name in nodes[-2:]:
                self.network.declare_cut_off(name)
            self.network.loop.call_later(6.0, self.kill, nodes[-2], 0.3)
        elif failure == 'two nodes are restarted behind a cut':
            self.restart_behind_cut(nodes[-2:], after_s)
        elif failure.endswith('the store away,'):
            self.network.store_away = True
            self.restart_behind_cut(nodes[-2:], after_s)
        elif failure == 'the first home leaves':
            self.leave(nodes[0])
        elif failure == 'the first home restarts':
            self.leave(nodes[0], 0.5)
        elif failure == 'the first two homes leave':
            self.leave(nodes[0])
            self.network.loop.call_later(1.5, self.leave, nodes[1])
        elif failure == 'the first home is cut off':
            self.cut(nodes[:1], after_s=after_s)
        elif failure == 'the first home is restarted and cut off':
            self.cut(nodes[:1], after_s=after_s)
            self.kill(nodes[0], 1.0)
        elif failure == 'the first two homes lose each other':
            self.cut(nodes[:1], nodes[1:2], after_s=after_s)
        elif failure == 'the first home is frozen':
            self.freeze(nodes[0], after_s)
        elif failure == 'a data centre is cut off':
            self.cut(nodes, after_s=after_s)
        elif failure == 'a data centre is cut in two':
            self.cut(nodes[:2], nodes[2:], after_s=after_s)
        elif failure == 'all nodes are killed and restarted':
            for name in list(self.network.nodes):
                self.kill(name, 1.0)
        else:
            raise ValueError(failure)

    def play_random(self, rng, mean_s):
        """Cause random failures until the network stops."""
        nodes = self.list_nodes(rng.choice(self.network.data_centres))
        span_s = rng.uniform(0.3, 8)
        rng.choice(
            (
                lambda: self.kill(nodes[0], span_s),
                lambda: self.cut(nodes[:1], after_s=span_s),
                lambda: self.freeze(nodes[0], span_s),
                lambda: self.cut(nodes, after_s=span_s),
                lambda: self.cut(nodes[:1], nodes[1:3], after_s=span_s),
                lambda: [self.kill(name, span_s) for name in nodes],
                lambda: self.cut(nodes[:2], nodes[2:], after_s=span_s),
                lambda: self.leave_if_running(nodes[0], span_s),
            )
        )()
        self.network.loop.call_later(
            rng.expovariate(1 / mean_s), self.play_random, rng, mean_s
        )


def may_create(node, now):
    """Return whether a node may create tokens of the organisation.

    One that is about to stop declines all requests for tokens.
    """
    if node.leaving:
        return False
    before = node.quota.members.list_before(quota_network.ORGANISATION)
    if before is None:
        return False
    since, until = node.quota.support.quorum.find_term(before)
    return since <= now < until
