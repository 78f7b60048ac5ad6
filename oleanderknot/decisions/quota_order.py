"""Order in which nodes become the quota home of an organisation."""

import collections.abc
import hashlib
import heapq


def order_homes(
    organisation: str, instances: collections.abc.Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the first instances in rendezvous-hash order.

    A node that joins or leaves changes the home of those organisations only
    of which it is the first.

    Args:
        organisation: Name of the organisation.
        instances: All instances of a data centre.
        count: Number of instances to return.
    """
    key = hashlib.blake2b(organisation.encode(), digest_size=16).digest()

    def weigh(instance: str) -> bytes:
        return hashlib.blake2b(
            instance.encode(), key=key, digest_size=8
        ).digest()

    return tuple(
        heapq.nsmallest(count, instances, key=lambda name: (weigh(name), name))
    )
