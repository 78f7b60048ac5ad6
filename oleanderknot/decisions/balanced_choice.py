"""Selects an upstream by load first and by data centre second."""

import collections.abc
import math
import typing

from oleanderknot.decisions import upstream_choice

# Load, as a share of the limit, by which a local upstream may exceed one of
# another data centre before the remote one is used. A hop between data centres
# costs about a millisecond and some traffic charges; a full upstream costs a
# wait in its queue.
LOCAL_PREFERENCE = 0.25

# Load, as a share of the limit, from which a call may have to wait, and the
# factor by which load above it counts more. Below it, an upstream of another
# data centre serves no caller earlier.
BUSY_LOAD = 0.9
BUSY_FACTOR = 2.0

# Load, as a share of the limit, that is added at a failure share of 1. An
# upstream that fails fast always looks idle. At this cost, one that fails a
# quarter of its calls counts as full, and it receives fewer calls than are
# needed to see that it has recovered.
FAILURE_COST = 4.0

# An upstream whose failure share exceeds the lowest one of its group by more
# than this is excluded, since both upstreams of a small sample may be failing.
OUTLIER_FAILURE_SHARE = 0.2


# Upstreams compared per group, local and remote, while all of them fail calls.
# With more, calls would be sent in turn to the one that has failed least.
SAMPLE_SIZE = 2

# A candidate, or another description of an upstream with ``local``.
Upstream = typing.TypeVar('Upstream')


def choose_balanced(
    candidates: collections.abc.Sequence[upstream_choice.Candidate],
    *,
    priority: float,
    tried: collections.abc.Container[str],
    draw: collections.abc.Callable[[int], int],
) -> upstream_choice.Candidate | None:
    """Choose the upstream that is expected to serve the call first.

    All are compared. Nodes that know the same still choose differently, since
    each has its own turns and the order of its candidates is random where
    they are equal.

    Args:
        candidates: Upstreams of the service that take work.
        priority: Priority number of the request.
        tried: Instances that earlier attempts went to; they are used only
            when no other is left.
        draw: Returns a random number below its argument.

    Returns:
        The choice, or None when no upstream admits the request.
    """
    admitting = [item for item in candidates if priority < item.level]
    if len(admitting) < 2:
        return admitting[0] if admitting else None
    group = list_usable(admitting, tried)
    if min([item.failure_share for item in group]) > 0.0:
        group = sample_sides(group, draw)
    else:
        offset = draw(len(group))
        group = group[offset:] + group[:offset]
    choice = None
    lowest = math.inf
    for item in group:
        load = (item.outstanding + item.in_flight + 1) / item.limit
        cost = (
            load * item.speed_cost
            + item.lead
            + FAILURE_COST * item.failure_share
        )
        if load > BUSY_LOAD:
            cost += BUSY_FACTOR * (load - BUSY_LOAD)
        if not item.local:
            cost += LOCAL_PREFERENCE
        if cost < lowest:
            lowest = cost
            choice = item
    return choice


def list_usable(
    candidates: list[upstream_choice.Candidate],
    tried: collections.abc.Container[str],
) -> list[upstream_choice.Candidate]:
    """Return the candidates of the best rank, without failing outliers."""
    group = candidates
    if tried or any([item.suspect for item in candidates]):
        ranks = [rank_group(item, tried) for item in candidates]
        best = min(ranks)
        group = [
            item
            for item, rank in zip(candidates, ranks, strict=True)
            if rank == best
        ]
    highest_share = OUTLIER_FAILURE_SHARE + min(
        [item.failure_share for item in group]
    )
    return [item for item in group if item.failure_share <= highest_share]


def rank_group(
    candidate: upstream_choice.Candidate,
    tried: collections.abc.Container[str],
) -> int:
    """Return the rank of an upstream; lower ranks are used first."""
    return 2 * (candidate.instance in tried) + candidate.suspect


def sample_sides(
    group: list[Upstream], draw: collections.abc.Callable[[int], int]
) -> list[Upstream]:
    """Return a random sample of the local and one of the remote ones."""
    return [
        *sample([item for item in group if item.local], draw),
        *sample([item for item in group if not item.local], draw),
    ]


def sample(
    group: list[Upstream], draw: collections.abc.Callable[[int], int]
) -> list[Upstream]:
    """Return a random sample of a group."""
    if len(group) <= SAMPLE_SIZE:
        return group
    first = draw(len(group))
    second = draw(len(group) - 1)
    return [group[first], group[second + (second >= first)]]
