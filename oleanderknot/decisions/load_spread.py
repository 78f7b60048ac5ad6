"""How evenly the known load of upstreams is spread."""

import collections

from oleanderknot.decisions import load_view

# Reports older than this say nothing about the present load.
MAX_REPORT_AGE_S = 1.0


def measure_spread(view: load_view.LoadView, now: float) -> float:
    """Return how uneven the load of the least even service is.

    Args:
        view: Load of the upstreams that this node calls.
        now: Monotonic time in seconds.

    Returns:
        The load of the busiest upstream over the mean of its service; 1 when
        all are equally loaded or nothing is known.
    """
    loads = collections.defaultdict(list)
    for load in view.loads.values():
        if now - load.reported_at <= MAX_REPORT_AGE_S:
            calls = load.in_flight + load.outstanding
            loads[load.service].append(calls / load.limit)
    return max(
        (
            max(items) * len(items) / sum(items)
            for items in loads.values()
            if sum(items) > 0
        ),
        default=1.0,
    )


def find_slowest(view: load_view.LoadView) -> float:
    """Return the relative time of the slowest known upstream."""
    return max(
        (load.relative_time for load in view.loads.values()), default=1.0
    )
