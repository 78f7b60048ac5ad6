"""Nodes that may be quota homes, as this node sees them."""

import bisect
import collections.abc

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import peer_pool

# Nodes of a data centre that are considered as homes of one organisation.
MAX_CANDIDATES = 8

# Orders that are kept; one takes less than a millisecond to compute.
MAX_ORDERS = 4096

# Time for which a node that did not answer a request is not asked again.
AVOID_S = 1.0

# Time for which a departure is remembered. Stocks are removed after the same
# time without a request, and are full when they are needed again.
DEPARTURE_RETENTION_S = 600.0

# Time after the departure of a home in which the next one asks it for what it
# has left. Nodes take a few seconds to stop.
HANDOVER_S = 5.0

NEVER = float('-inf')


class QuotaMembers:
    """Owns the order of homes and the list of nodes that do not respond.

    Attributes:
        identity: Identity of this node.
        configured: Data centres named in the settings.
        table: Known members.
        list_unreached: Returns the nodes of this data centre that the store
            lists and this process does not reach.
        pool: Connections to other nodes.
        live: Nodes that have neither left nor died, by data centre.
        known_data_centres: Data centres of nodes that have not left. One
            whose nodes are dead may be cut off only, and create tokens.
        unreached: What ``list_unreached`` last returned, without nodes that
            have left.
        dead: Nodes of this data centre that have died, and those that are
            not reached.
        eligible: Nodes that may be homes, by data centre.
        orders: First nodes in the order of homes, by data centre and
            organisation.
        departed_at: Monotonic time in seconds at which a live node of this
            data centre ceased to be a candidate, by instance.
        successions: Latest of these times for the nodes that were before
            this one in the order of homes, by organisation.
        avoid_until: Monotonic time in seconds until which a node is not
            asked, by instance.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        data_centres: collections.abc.Iterable[str],
        table: decisions.MemberTable,
        pool: peer_pool.PeerPool,
        list_unreached: collections.abc.Callable[
            [], collections.abc.Iterable[str]
        ],
    ) -> None:
        self.list_unreached = list_unreached
        self.identity = identity
        self.configured = tuple(data_centres)
        self.table = table
        self.pool = pool
        self.live: dict[str, set[str]] = {}
        self.known_data_centres: set[str] = set()
        self.unreached: set[str] = set()
        self.dead: set[str] = set()
        self.eligible: dict[str, set[str]] = {}
        self.orders: dict[tuple[str, str], tuple[str, ...]] = {}
        self.departed_at: dict[str, float] = {}
        self.successions: dict[str, float] = {}
        self.avoid_until: dict[str, float] = {}

    @property
    def data_centres(self) -> list[str]:
        """Data centres that create tokens, with this one."""
        own = self.identity.data_centre
        return sorted({own, *(self.configured or self.known_data_centres)})

    def refresh(self, now: float) -> None:
        """Read the members from the table."""
        live: dict[str, set[str]] = {}
        leaving: set[str] = set()
        known_data_centres: set[str] = set()
        self.dead = set()
        for member in self.table.members.values():
            if member.state is model.MemberState.LEFT:
                continue
            known_data_centres.add(member.data_centre)
            if member.state is not model.MemberState.DEAD:
                live.setdefault(member.data_centre, set()).add(member.instance)
                if member.state is model.MemberState.LEAVING:
                    leaving.add(member.instance)
            elif member.data_centre == self.identity.data_centre:
                self.dead.add(member.instance)
        self.unreached = {
            name for name in self.list_unreached() if self.is_missing(name)
        }
        self.dead |= self.unreached
        self.live = live
        self.known_data_centres = known_data_centres
        self.avoid_until = {
            name: until
            for name, until in self.avoid_until.items()
            if until > now
        }
        eligible = {name: nodes - leaving for name, nodes in live.items()}
        self.note_departures(
            eligible.get(self.identity.data_centre, set()), now
        )
        self.set_eligible(eligible)

    def is_missing(self, instance: str) -> bool:
        """Return whether a node is unknown or has died."""
        member = self.table.members.get(instance)
        return member is None or member.state is model.MemberState.DEAD

    def note_departures(self, eligible: set[str], now: float) -> None:
        """Note which nodes of this data centre have left in order.

        A node that died may still create tokens elsewhere, so that it stays
        in the order of homes; see ``add_known``.

        Args:
            eligible: Nodes of this data centre that may be homes now.
            now: Monotonic time in seconds.
        """
        before = self.eligible.get(self.identity.data_centre, set())
        left = before - eligible - self.dead
        departed_at = {
            name: at
            for name, at in self.departed_at.items()
            if name not in eligible and now - at < DEPARTURE_RETENTION_S
        }
        departed_at.update(dict.fromkeys(left, now))
        if departed_at != self.departed_at:
            self.departed_at = departed_at
            self.successions.clear()

    def find_succession(self, organisation: str) -> float:
        """Return when this node took the place of one that left in order.

        That one may have handed out all of its stock just before.

        Returns:
            Monotonic time in seconds; ``NEVER`` if it has not.
        """
        if not self.departed_at:
            return NEVER
        since = self.successions.get(organisation)
        if since is None:
            if len(self.successions) >= MAX_ORDERS:
                self.successions.clear()
            own = self.identity.instance
            since = max(
                (
                    at
                    for name, at in self.departed_at.items()
                    if decisions.order_homes(organisation, (own, name), 1)
                    == (name,)
                ),
                default=NEVER,
            )
            self.successions[organisation] = since
        return since

    def find_predecessor(self, organisation: str, now: float) -> str | None:
        """Return the node that leaves and whose place this one takes.

        It declines requests of first nodes, so that it is asked although it
        seems not to respond to them.
        """
        own = self.identity.instance
        found = [
            (at, name)
            for name, at in self.departed_at.items()
            if now - at < HANDOVER_S
            and decisions.order_homes(organisation, (own, name), 1) == (name,)
        ]
        # The order may be older than the departure.
        found += [(now, name) for name in self.list_before(organisation) or ()]
        leaving = [
            item
            for item in found
            if self.is_leaving(item[1]) and not self.is_cut_off(item[1])
        ]
        return max(leaving)[1] if leaving else None

    def is_leaving(self, instance: str) -> bool:
        """Return whether a node is known to leave, and has not left yet."""
        member = self.table.members.get(instance)
        return member is not None and member.state is model.MemberState.LEAVING

    def set_eligible(self, eligible: dict[str, set[str]]) -> None:
        """Set the nodes that may be homes."""
        if eligible != self.eligible:
            self.eligible = eligible
            self.orders.clear()

    def add_known(self, known: collections.abc.Iterable[str]) -> None:
        """Keep dead nodes of this data centre in the order of homes.

        Args:
            known: Nodes that count for a majority.
        """
        own = self.identity.data_centre
        nodes = self.eligible.get(own, set()) | (self.dead & set(known))
        self.set_eligible({**self.eligible, own: nodes})

    def list_order(
        self, organisation: str, data_centre: str
    ) -> tuple[str, ...]:
        """Return the first nodes in the order of homes."""
        key = (data_centre, organisation)
        order = self.orders.get(key)
        if order is None:
            if len(self.orders) >= MAX_ORDERS:
                self.orders.clear()
            order = decisions.order_homes(
                organisation,
                self.eligible.get(data_centre, ()),
                MAX_CANDIDATES,
            )
            self.orders[key] = order
        return order

    def list_before(self, organisation: str) -> tuple[str, ...] | None:
        """Return the nodes before this one in the order of homes.

        None if this node is not considered as a home.
        """
        order = self.list_order(organisation, self.identity.data_centre)
        own = self.identity.instance
        return order[: order.index(own)] if own in order else None

    def find_home(
        self, organisation: str, data_centre: str, now: float
    ) -> str | None:
        """Return the first node in the order that seems to respond."""
        for name in self.list_order(organisation, data_centre):
            if not self.is_lost(name, now):
                return name
        return None

    def is_lost(self, instance: str, now: float) -> bool:
        """Return whether a node is dead or does not respond to this one."""
        return (
            instance in self.dead
            or self.avoid_until.get(instance, 0.0) > now
            or self.is_cut_off(instance)
        )

    def is_cut_off(self, instance: str) -> bool:
        """Return whether this node has no path to another one."""
        if instance == self.identity.instance:
            return False
        member = self.table.members.get(instance)
        return (
            member is None
            or self.pool.is_unreachable(member)
            or self.pool.is_overdue(member)
        )

    def note_failure(self, instance: str, now: float) -> None:
        """Do not ask a node again for a while."""
        self.avoid_until[instance] = now + AVOID_S

    def note_response(self, instance: str) -> None:
        """Ask a node again that has responded."""
        if self.avoid_until:
            self.avoid_until.pop(instance, None)

    def list_voters(self, known: set[str], count: int) -> list[str]:
        """Return the nodes to ask for support.

        Each node asks those that follow it by name, so that all nodes are
        asked equally often.
        """
        own = self.identity.instance
        names = sorted(known - {own} - self.dead)
        first = bisect.bisect(names, own)
        return (names[first:] + names[:first])[:count]
