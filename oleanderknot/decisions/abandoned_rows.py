"""Finds rows of nodes that are gone without having removed them."""

import collections.abc

# Time for which a node is not reached before its row is removed. Links
# between nodes fail for minutes at most.
ROW_RETENTION_S = 600.0

# Rows that one call removes; the store takes 100 entries.
MAX_REMOVED_ROWS = 50


def list_abandoned(
    *,
    own: str,
    live: collections.abc.Collection[str],
    unreached_since: collections.abc.Mapping[str, float],
    now: float,
) -> list[str]:
    """Return the nodes of a data centre whose rows this node removes.

    One node of the data centre does this, and none on the smaller side of a
    cut.

    Args:
        own: Name of this instance.
        live: Live nodes of the data centre, with this one.
        unreached_since: Monotonic time in seconds since which this node has
            not reached a node that has a row, by instance.
        now: Monotonic time in seconds.
    """
    if own != min(live, default='') or len(live) <= len(unreached_since):
        return []
    return [
        name
        for name, since in unreached_since.items()
        if now - since >= ROW_RETENTION_S
    ][:MAX_REMOVED_ROWS]
