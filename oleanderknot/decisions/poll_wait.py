"""Chooses how long a node waits in one long poll of the store."""

import collections.abc

# Wait of the first node of a data centre, and the addition for each further
# one. A store that was silent for a while may never answer the polls it held.
# The first node then asks again soon and passes what it missed on to the
# others, which would otherwise all have to ask as often.
POLL_WAIT_STEP_S = 5.0

# Longest wait, below the 30 s that stores allow.
MAX_POLL_WAIT_S = 28.0


def find_poll_wait_s(
    instance: str, live_instances: collections.abc.Iterable[str]
) -> float:
    """Return the wait of a node's next long poll in seconds.

    Args:
        instance: The node.
        live_instances: Nodes of its data centre that are believed to live.
    """
    rank = sum(other < instance for other in live_instances)
    return min(MAX_POLL_WAIT_S, (rank + 1) * POLL_WAIT_STEP_S)
