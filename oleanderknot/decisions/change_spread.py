"""Changes of members that ride on pings."""

import math

# More would let one ping with a burst of changes grow beyond a packet.
CHANGES_PER_PING = 8

# SWIM spreads a change to all of n nodes with high probability when each
# node passes it on a few times log n; 3 covers lost pings.
SPREAD_FACTOR = 3


def limit_rides(nodes: int) -> int:
    """Return how often a node passes one change on.

    Args:
        nodes: Nodes that are known, this one included.

    Returns:
        Number of pings that carry the change.
    """
    return SPREAD_FACTOR * math.ceil(math.log2(nodes + 1))


class ChangeSpread:
    """Counts how often each recent change has been passed on.

    Attributes:
        rides: Pings that have carried the newest change, by instance.
    """

    def __init__(self) -> None:
        self.rides: dict[str, int] = {}

    def add(self, instance: str) -> None:
        """Start to spread the record of an instance anew."""
        self.rides[instance] = 0

    def take(self, nodes: int) -> list[str]:
        """Choose the changes of one ping, those sent least often first.

        Args:
            nodes: Nodes that are known, this one included.

        Returns:
            At most ``CHANGES_PER_PING`` instances.
        """
        if not self.rides:
            return []
        chosen = sorted(self.rides, key=self.rides.__getitem__)
        chosen = chosen[:CHANGES_PER_PING]
        limit = limit_rides(nodes)
        for instance in chosen:
            self.rides[instance] += 1
            if self.rides[instance] >= limit:
                del self.rides[instance]
        return chosen
