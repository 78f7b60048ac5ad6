"""Dissemination of membership changes piggybacked on pings."""

import math

# With more changes, a ping sent during a burst would not fit in one packet.
CHANGES_PER_PING = 8

# In SWIM a change reaches all n nodes with high probability when each node
# retransmits it a small multiple of log n times. A factor of 3 compensates
# for lost pings.
RETRANSMIT_FACTOR = 3


def compute_transmit_limit(nodes: int) -> int:
    """Return how many times a node transmits one change.

    Args:
        nodes: Number of known nodes, including this one.

    Returns:
        Number of pings that carry the change.
    """
    return RETRANSMIT_FACTOR * math.ceil(math.log2(nodes + 1))


class GossipQueue:
    """Queues recent membership changes for a limited number of pings.

    Attributes:
        transmissions: Number of pings that have carried the newest record,
            by instance.
    """

    def __init__(self) -> None:
        self.transmissions: dict[str, int] = {}

    def add(self, instance: str) -> None:
        """Queue the record of an instance and reset its transmission count."""
        self.transmissions[instance] = 0

    def next_batch(self, nodes: int) -> list[str]:
        """Return the changes for one ping and count their transmission.

        The changes that were transmitted least often come first.

        Args:
            nodes: Number of known nodes, including this one.

        Returns:
            At most ``CHANGES_PER_PING`` instances.
        """
        if not self.transmissions:
            return []
        chosen = sorted(self.transmissions, key=self.transmissions.__getitem__)
        chosen = chosen[:CHANGES_PER_PING]
        limit = compute_transmit_limit(nodes)
        for instance in chosen:
            self.transmissions[instance] += 1
            if self.transmissions[instance] >= limit:
                del self.transmissions[instance]
        return chosen
