"""Selects an upstream by data centre first and by load second."""

import collections.abc
import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Candidate:
    """Load and state of an upstream, as known to the calling node.

    Attributes:
        instance: Name of the instance.
        local: Whether it is in the data centre of the calling node.
        suspect: Whether it is suspected to have failed.
        outstanding: Calls of the calling node that it has not answered.
        in_flight: Estimated number of its calls of other nodes.
        limit: Last reported concurrency limit; its slots at first.
        level: Estimated admission level, from 0 to 4.
        failure_share: Estimated share of its calls that fail.
        speed_cost: Factor of its load in the choice; above 1 if it is slower
            than the mean of its service.
        lead: How far it is ahead of the others in turn, as a share of its
            limit.
    """

    instance: str
    local: bool
    suspect: bool
    outstanding: int
    in_flight: float
    limit: int
    level: float
    failure_share: float = 0.0
    speed_cost: float = 1.0
    lead: float = 0.0


def score(candidate: Candidate) -> float:
    """Return the relative load of an upstream; lower is better."""
    load = candidate.outstanding + candidate.in_flight + 1
    return load / max(1, candidate.limit)


def choose_local_first(
    candidates: collections.abc.Sequence[Candidate],
    *,
    priority: float,
    tried: collections.abc.Container[str],
    draw: collections.abc.Callable[[int], int],
) -> Candidate | None:
    """Choose the less loaded of two random upstreams of the best rank.

    Untried upstreams rank before tried ones, healthy before suspected ones and
    local before remote ones. Only upstreams whose level admits the request are
    considered.

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
    if not admitting:
        return None
    if len(admitting) == 1:
        return admitting[0]
    best = min(rank_group(item, tried) for item in admitting)
    group = [item for item in admitting if rank_group(item, tried) == best]
    if len(group) == 1:
        return group[0]
    first = draw(len(group))
    second = draw(len(group) - 1)
    if second >= first:
        second += 1
    return min(group[first], group[second], key=score)


def rank_group(
    candidate: Candidate, tried: collections.abc.Container[str]
) -> int:
    """Return the rank of an upstream; lower ranks are used first."""
    return (
        4 * (candidate.instance in tried)
        + 2 * candidate.suspect
        + (not candidate.local)
    )
