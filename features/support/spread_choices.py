"""Choices of an upstream that are compared with each other, as functions."""

import random

from features.support import load_play
from features.support import played_call
from oleanderknot import decisions

# Load, as a share of the limit, that the former choice added to upstreams of
# other data centres.
FORMER_LOCAL_PREFERENCE = 0.25

# Half-life in seconds of a report in the former choice.
FORMER_HALF_LIFE_S = 0.5

# Share of an upstream's capacity that counts as free at least, so that one
# that seemed to be full is tried again.
MIN_FREE_SHARE = 0.02


def choose_even(play: load_play.LoadPlay, call: played_call.PlayedCall) -> int:
    """Choose as the product does."""
    loads = play.views[call.node].loads
    candidates = [
        decisions.build_candidate(
            load,
            play.now,
            instance=name,
            local=play.is_local(call.node, number),
            suspect=False,
            level=decisions.MAX_LEVEL,
        )
        for number, (name, load) in enumerate(loads.items())
    ]
    choice = decisions.choose_balanced(
        candidates, priority=0.0, tried=call.tried, draw=play.rng.randrange
    )
    loads[choice.instance].take_turn()
    return list(loads).index(choice.instance)


def choose_former(
    play: load_play.LoadPlay, call: played_call.PlayedCall
) -> int:
    """Choose by the last report among two local and two remote upstreams.

    This is the choice before the calls of other nodes were estimated. A
    report halves every 0.5 s and includes the calls of the own node.
    """
    groups: tuple[list[int], list[int]] = ([], [])
    for number, upstream in enumerate(play.upstreams):
        if upstream.name not in call.tried:
            groups[play.is_local(call.node, number)].append(number)

    def score(number: int) -> float:
        if play.is_local(call.node, number):
            return find_share(play, call.node, number)
        return find_share(play, call.node, number) + FORMER_LOCAL_PREFERENCE

    drawn = [
        number for group in groups for number in draw_two(group, play.rng)
    ]
    return min(drawn, key=score)


def draw_two(group: list[int], rng: random.Random) -> list[int]:
    """Return two random members of a group, or all of a smaller one."""
    return rng.sample(group, min(2, len(group)))


def choose_by_free_capacity(
    play: load_play.LoadPlay, call: played_call.PlayedCall
) -> int:
    """Choose with a probability in proportion to the free capacity."""
    weights = [
        max(MIN_FREE_SHARE, 1.0 - find_share(play, call.node, number))
        if upstream.name not in call.tried
        else 0.0
        for number, upstream in enumerate(play.upstreams)
    ]
    return play.rng.choices(range(len(weights)), weights)[0]


def find_share(play: load_play.LoadPlay, node: int, upstream: int) -> float:
    """Return the load of an upstream by the former estimate."""
    load = play.find_load(node, upstream)
    in_flight, reported_at = play.last_reports.get((node, upstream), (0, 0.0))
    age_s = play.now - reported_at
    in_flight *= 0.5 ** (age_s / FORMER_HALF_LIFE_S)
    return (load.outstanding + in_flight + 1) / load.limit
