"""Selects an upstream from a kept list, without building candidates.

The choice is that of ``balanced_choice`` for the same upstreams and random
numbers. Its costs are computed in one loop, since a call to each function of
the estimate takes longer than the estimate.
"""

import collections.abc
import math

from oleanderknot.decisions import balanced_choice
from oleanderknot.decisions import group_load
from oleanderknot.decisions import instance_load
from oleanderknot.decisions import listed_upstream

BUSY_FACTOR = balanced_choice.BUSY_FACTOR
BUSY_LOAD = balanced_choice.BUSY_LOAD
FAILURE_COST = balanced_choice.FAILURE_COST
LOCAL_PREFERENCE = balanced_choice.LOCAL_PREFERENCE
MAX_HALF_LIVES = instance_load.MAX_HALF_LIVES


def choose_listed(
    admitting: list[listed_upstream.ListedUpstream],
    *,
    groups: collections.abc.Iterable[group_load.GroupLoad],
    tried: collections.abc.Container[str],
    suspects: collections.abc.Container[str],
    now: float,
    draw: collections.abc.Callable[[int], int],
) -> listed_upstream.ListedUpstream | None:
    """Choose the upstream that is expected to serve the call first.

    Args:
        admitting: Upstreams that take work and admit the call.
        groups: Load of their data centres.
        tried: Instances that earlier attempts went to.
        suspects: Instances that are suspected to have failed.
        now: Monotonic time in seconds.
        draw: Returns a random number below its argument.

    Returns:
        The choice, or None without upstreams.
    """
    if len(admitting) < 2:
        return admitting[0] if admitting else None
    group = admitting
    if tried or suspects:
        group = list_best_ranked(group, tried, suspects)
    failing = any([now < item.failing_until for item in groups])
    if failing:
        shares = [item.load.failures.estimate(now) for item in group]
        lowest = min(shares)
        highest = balanced_choice.OUTLIER_FAILURE_SHARE + lowest
        group = [
            item
            for item, share in zip(group, shares, strict=True)
            if share <= highest
        ]
        if lowest > 0.0:
            group = balanced_choice.sample_sides(group, draw)
            return find_cheapest(group, now, failing=True)
    offset = draw(len(group))
    return find_cheapest(group[offset:] + group[:offset], now, failing=failing)


def list_best_ranked(
    upstreams: list[listed_upstream.ListedUpstream],
    tried: collections.abc.Container[str],
    suspects: collections.abc.Container[str],
) -> list[listed_upstream.ListedUpstream]:
    """Return the upstreams of the best rank."""
    ranks = [
        2 * (item.instance in tried) + (item.instance in suspects)
        for item in upstreams
    ]
    best = min(ranks)
    return [
        item
        for item, rank in zip(upstreams, ranks, strict=True)
        if rank == best
    ]


def find_cheapest(
    upstreams: list[listed_upstream.ListedUpstream],
    now: float,
    *,
    failing: bool,
) -> listed_upstream.ListedUpstream | None:
    """Return the first upstream of the lowest cost.

    Args:
        upstreams: The upstreams.
        now: Monotonic time in seconds.
        failing: Whether any of them may have failed calls.
    """
    choice = None
    lowest = math.inf
    for item in upstreams:
        load = item.load
        group = load.group
        # See GroupLoad.find_lead.
        turn = load.turn
        if turn < group.lowest_turn:
            turn = group.lowest_turn
        # See InstanceLoad.estimate_in_flight.
        limit = load.limit
        if now != group.estimated_at:
            group.estimate(now)
        in_flight = group.estimated * limit
        half_lives = (now - load.reported_at) / load.half_life_s
        if half_lives <= MAX_HALF_LIVES:
            if half_lives > 0.0:
                in_flight += (load.in_flight - in_flight) * 0.5**half_lives
            else:
                in_flight = load.in_flight
        # See choose_balanced.
        share = (load.outstanding + in_flight + 1) / limit
        cost = share * load.speed_cost + (turn - group.turn)
        if failing:
            cost += FAILURE_COST * load.failures.estimate(now)
        if share > BUSY_LOAD:
            cost += BUSY_FACTOR * (share - BUSY_LOAD)
        if not item.local:
            cost += LOCAL_PREFERENCE
        if cost < lowest:
            lowest = cost
            choice = item
    return choice
