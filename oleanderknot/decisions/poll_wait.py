"""Chooses how long a node waits in one long poll of the store."""

import collections.abc

# Time between the ends of two polls of the whole deployment. A poll whose
# connection went silent, or whose response was lost, is noticed only at its
# end, and the nodes whose polls end first pass on what all of them missed.
POLL_STEP_S = 1.0

# Longest period of the polls of one node. With the shortest wait it stays
# below the 30 s that stores allow.
MAX_POLL_PERIOD_S = 28.0

# Shortest wait, for a response that arrives just before the node's own time.
MIN_POLL_WAIT_S = 0.5


def find_poll_wait_s(
    instance: str,
    live_instances: collections.abc.Iterable[str],
    clock_s: float,
) -> float:
    """Return the wait of a node's next long poll in seconds.

    The polls of all nodes end at evenly spaced times of the store's clock.
    They would otherwise begin and end together after each change, and no
    node would notice lost polls sooner than the others.

    Args:
        instance: The node.
        live_instances: Nodes that are believed to live.
        clock_s: Time of the store's clock in seconds.
    """
    others = set(live_instances) - {instance}
    count = len(others) + 1
    rank = sum(other < instance for other in others)
    # A single node has nobody to learn from, and polls as often as two.
    period = min(MAX_POLL_PERIOD_S, max(2, count) * POLL_STEP_S)
    wait = (rank * period / count - clock_s) % period
    return wait if wait >= MIN_POLL_WAIT_S else wait + period
