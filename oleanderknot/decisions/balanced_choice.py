"""Chooses an upstream by load first and by data centre second."""

import collections.abc

from oleanderknot.decisions import upstream_choice

# Load, as a share of the limit, by which an upstream of the own data centre
# may be above one of another before the other is used. The way between data
# centres costs about a millisecond and a little money, a full upstream costs
# a place in its queue.
LOCAL_PREFERENCE = 0.25

# Load, as a share of the limit, that a call which is sure to fail counts as.
# One that fails fast always looks idle; at this cost an upstream that fails a
# quarter of its calls counts as full, and fewer calls stay there than are
# needed to see that it has recovered.
FAILURE_COST = 4.0

# An upstream that fails this much more of its calls than the best one of its
# group is left out, since two of a small sample may both be failing ones.
OUTLIER_FAILURE_SHARE = 0.2

# Upstreams that are compared of each kind; more would make all nodes choose
# the same one by reports of the same age.
SAMPLE_SIZE = 2


def choose_balanced(
    candidates: collections.abc.Sequence[upstream_choice.Candidate],
    *,
    priority: float,
    tried: collections.abc.Container[str],
    draw: collections.abc.Callable[[int], int],
) -> upstream_choice.Candidate | None:
    """Choose the least loaded of a few upstreams near and far.

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
    best = min(rank_group(item, tried) for item in admitting)
    group = [item for item in admitting if rank_group(item, tried) == best]
    lowest_share = min(item.failure_share for item in group)
    group = [
        item
        for item in group
        if item.failure_share <= lowest_share + OUTLIER_FAILURE_SHARE
    ]
    local_group = [item for item in group if item.local]
    remote_group = [item for item in group if not item.local]
    return min(
        (*sample(local_group, draw), *sample(remote_group, draw)),
        key=lambda item: (
            upstream_choice.score(item)
            + FAILURE_COST * item.failure_share
            + (0.0 if item.local else LOCAL_PREFERENCE)
        ),
    )


def rank_group(
    candidate: upstream_choice.Candidate,
    tried: collections.abc.Container[str],
) -> int:
    """Return the group of an upstream; lower groups are used first."""
    return 2 * (candidate.instance in tried) + candidate.suspect


def sample(
    group: list[upstream_choice.Candidate],
    draw: collections.abc.Callable[[int], int],
) -> list[upstream_choice.Candidate]:
    """Return a few upstreams of a group, chosen at random."""
    if len(group) <= SAMPLE_SIZE:
        return group
    first = draw(len(group))
    second = draw(len(group) - 1)
    return [group[first], group[second + (second >= first)]]
