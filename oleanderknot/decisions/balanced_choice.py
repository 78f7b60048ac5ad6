"""Selects an upstream by load first and by data centre second."""

import collections.abc

from oleanderknot.decisions import upstream_choice

# Load, as a share of the limit, by which a local upstream may exceed one of
# another data centre before the remote one is used. A hop between data centres
# costs about a millisecond and some traffic charges; a full upstream costs a
# wait in its queue.
LOCAL_PREFERENCE = 0.25

# Load, as a share of the limit, that is added at a failure share of 1. An
# upstream that fails fast always looks idle. At this cost, one that fails a
# quarter of its calls counts as full, and it receives fewer calls than are
# needed to see that it has recovered.
FAILURE_COST = 4.0

# An upstream whose failure share exceeds the lowest one of its group by more
# than this is excluded, since both upstreams of a small sample may be failing.
OUTLIER_FAILURE_SHARE = 0.2

# Upstreams compared per group, local and remote. With more, all nodes would
# choose the same upstream from reports of the same age.
SAMPLE_SIZE = 2


def choose_balanced(
    candidates: collections.abc.Sequence[upstream_choice.Candidate],
    *,
    priority: float,
    tried: collections.abc.Container[str],
    draw: collections.abc.Callable[[int], int],
) -> upstream_choice.Candidate | None:
    """Choose the least loaded of a sample of local and remote upstreams.

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
    """Return the rank of an upstream; lower ranks are used first."""
    return 2 * (candidate.instance in tried) + candidate.suspect


def sample(
    group: list[upstream_choice.Candidate],
    draw: collections.abc.Callable[[int], int],
) -> list[upstream_choice.Candidate]:
    """Return a random sample of a group."""
    if len(group) <= SAMPLE_SIZE:
        return group
    first = draw(len(group))
    second = draw(len(group) - 1)
    return [group[first], group[second + (second >= first)]]
