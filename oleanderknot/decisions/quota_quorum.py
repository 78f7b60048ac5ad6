"""Decides when a node may create the tokens of its data centre.

Each node asks the others of its data centre whether they support it, and says
which nodes it has lost. A node supports another one for ``SUPPORT_S`` and
supports nobody in that time who has lost the other. Two nodes that create
tokens at once, of which one has lost the other, would need two majorities
without a common member.
"""

import collections.abc

# Time after a question was sent for which its answer holds. Questions are
# sent every second, so that one of them may be lost.
SUPPORT_S = 2.25

# Time after which a dead node no longer counts as known, while a majority is
# seen. Without it, replaced instances would add up to a majority of the dead.
FORGET_S = 30.0

NEVER = float('-inf')


class QuotaQuorum:
    """Support that one node gets from and gives to others.

    Attributes:
        own: Name of this instance.
        settled_at: Monotonic time in seconds from which this node supports
            others. Support that an earlier process of it gave has ended by
            then.
        informed: Whether this node knows which others there are. Until then
            it supports nobody, itself included.
        create_from: Monotonic time in seconds from which it creates tokens.
        known: Known nodes of the data centre, with this one.
        dead_since: When a known node was found dead, by instance.
        asked_at: When a node last asked for support, by instance.
        replaced_at: When this node last supported one that had lost the
            given node, by instance.
        supports: Latest support of each node: when it was asked for, and the
            nodes that it agrees to be lost.
        valid: Time since which and until which a majority supports this
            node.
        lost: The same for each node that a majority agrees to be lost.
    """

    def __init__(
        self, *, own: str, now: float, first_start: bool = False
    ) -> None:
        self.own = own
        self.settled_at = now if first_start else now + SUPPORT_S
        self.informed = first_start
        self.create_from = self.settled_at
        self.known = {own}
        self.dead_since: dict[str, float] = {}
        self.asked_at: dict[str, float] = {}
        self.replaced_at: dict[str, float] = {}
        self.supports: dict[str, tuple[float, frozenset[str]]] = {}
        self.valid = (self.create_from, NEVER)
        self.lost: dict[str, tuple[float, float]] = {}

    @property
    def majority(self) -> int:
        """Number of nodes that are more than half of the known ones."""
        return len(self.known) // 2 + 1

    def update_known(
        self,
        live: collections.abc.Iterable[str],
        dead: collections.abc.Iterable[str],
        unreached: collections.abc.Iterable[str],
        now: float,
    ) -> None:
        """Set the members of the data centre.

        Args:
            live: Nodes that have neither left nor died.
            dead: Nodes that have died. Those that this process has not known
                alive do not count: there may be many of earlier days.
            unreached: Nodes that the store lists and this process does not
                reach. Without them, nodes that start behind a cut would be a
                majority of those that they reach.
            now: Monotonic time in seconds.
        """
        live = {self.own, *live}
        unreached = set(unreached) - live
        dead = set(dead) - live | unreached
        self.dead_since = {
            name: self.dead_since.get(name, now) for name in dead
        }
        sees_majority = now < self.valid[1]
        kept = {
            name
            for name in dead
            if not sees_majority or now - self.dead_since[name] < FORGET_S
        }
        self.known = live | (kept & (self.known | unreached))
        for entries in (self.asked_at, self.replaced_at, self.supports):
            for name in list(entries):
                if name not in self.known:
                    del entries[name]

    def answer(
        self, sender: str, lost: collections.abc.Iterable[str], now: float
    ) -> tuple[bool, list[str]]:
        """Answer a node that asks for support.

        Args:
            sender: The node.
            lost: Nodes that it has lost.
            now: Monotonic time in seconds.

        Returns:
            Whether this node supports it, and those of the lost nodes that
            this node does not agree to be lost.
        """
        self.asked_at[sender] = now
        if now < self.settled_at or not self.informed:
            return False, list(lost)
        heard = []
        for name in lost:
            asked_at = now if name == self.own else self.asked_at.get(name)
            if asked_at is not None and now - asked_at < SUPPORT_S:
                heard.append(name)
            else:
                self.replaced_at[name] = now
        replaced_at = self.replaced_at.get(sender, NEVER)
        return now - replaced_at >= SUPPORT_S, heard

    def note_answer(
        self,
        sender: str,
        sent_at: float,
        lost: collections.abc.Iterable[str],
        heard: collections.abc.Iterable[str],
    ) -> None:
        """Note the support of a node.

        Args:
            sender: The node.
            sent_at: When it was asked, in monotonic seconds.
            lost: Nodes that this node named as lost.
            heard: Those of them that the sender does not agree to be lost.
        """
        self.supports[sender] = (sent_at, frozenset(lost) - frozenset(heard))

    def advance(self, lost: collections.abc.Iterable[str], now: float) -> None:
        """Update what a majority supports.

        Args:
            lost: Nodes that this node cannot reach.
            now: Monotonic time in seconds.
        """
        lost = tuple(lost)
        for name in lost:
            if not self.was_asked(name, now):
                self.replaced_at[name] = now
        self.valid = extend(
            self.valid, self.find_support(None, now), now, self.create_from
        )
        self.lost = {
            name: extend(
                self.lost.get(name, (now, NEVER)),
                self.find_support(name, now),
                now,
                self.create_from,
            )
            for name in lost
        }

    def pause(self, now: float) -> None:
        """Create no tokens, and wait after the end of the pause.

        Others take this node for a home only once they know that it is one
        again, and until then they may have another one.
        """
        self.create_from = now + SUPPORT_S
        self.valid = (self.create_from, NEVER)

    def find_support(self, lost: str | None, now: float) -> float:
        """Return until when a majority supports this node.

        Args:
            lost: Count only those that agree that this node is lost; None
                for all.
            now: Monotonic time in seconds.
        """
        times = [
            sent_at
            for name, (sent_at, agreed) in self.supports.items()
            if name in self.known and (lost is None or lost in agreed)
        ]
        if self.informed and (lost is None or not self.was_asked(lost, now)):
            times.append(now)
        if len(times) < self.majority:
            return NEVER
        times.sort(reverse=True)
        return times[self.majority - 1] + SUPPORT_S

    def count_supports(self, since: float) -> int:
        """Return how many other nodes have supported this one lately.

        Args:
            since: Monotonic time in seconds from which questions count.
        """
        return sum(sent_at >= since for sent_at, _ in self.supports.values())

    def was_asked(self, name: str, now: float) -> bool:
        """Return whether a node has this node's support."""
        return now - self.asked_at.get(name, NEVER) < SUPPORT_S

    def find_term(
        self, before: collections.abc.Iterable[str]
    ) -> tuple[float, float]:
        """Return since when and until when this node may create tokens.

        Args:
            before: Nodes that come before it in the order of homes.
        """
        since, until = self.valid
        for name in before:
            lost_since, lost_until = self.lost.get(name, (since, NEVER))
            since = max(since, lost_since)
            until = min(until, lost_until)
        return since, until


def extend(
    term: tuple[float, float], until: float, now: float, create_from: float
) -> tuple[float, float]:
    """Return a term that lasts longer, or starts anew after a break."""
    since, ended_at = term
    if ended_at < now:
        since = max(now, create_from)
    return since, max(until, ended_at) if until > now else ended_at
