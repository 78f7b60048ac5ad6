"""Decides when to poll for tickets and whom to tell of new ones."""

import collections.abc
import typing

from oleanderknot import model

# One node of a data centre asks the table each 0.5 s on average.
POLL_PERIOD_S = 0.5

# A node that is alone in its data centre must see a ticket within 7 s of the
# return of the table, so its back-off stays below 2 s and jitter adds half.
MAX_BACK_OFF_S = 2.0

# Each node that gets news passes it on to 4 others, so 98 % hear of it this
# way; the digests reach the rest.
PUSHES_HOME = 4
PUSHES_ABROAD = 2

ALIVE = (
    model.MemberState.JOINING,
    model.MemberState.TAKING,
    model.MemberState.SUSPECT,
    model.MemberState.LEAVING,
)

SampleFunction = collections.abc.Callable[
    [list[model.Member], int], list[model.Member]
]


def find_poll_delay(*, nodes: int, failures: int, draw: float) -> float:
    """Return how long a node waits from one poll to the next.

    Args:
        nodes: Nodes of the own data centre that are alive, with this one.
        failures: Polls that have failed since the last success.
        draw: Random number from 0 up to 1.

    Returns:
        Seconds; all nodes of a data centre together poll twice a second.
    """
    period = POLL_PERIOD_S * max(1, nodes)
    longest = max(period, MAX_BACK_OFF_S)
    period = min(period * 2 ** min(failures, 10), longest)
    return period * (0.5 + draw)


def list_alive(
    members: collections.abc.Iterable[model.Member], own: str
) -> list[model.Member]:
    """Return the members other than the own that messages may reach."""
    return [
        member
        for member in members
        if member.instance != own and member.state in ALIVE
    ]


def choose_targets(
    members: collections.abc.Iterable[model.Member],
    own: model.NodeIdentity,
    sample: SampleFunction,
) -> list[model.Member]:
    """Choose the nodes that a node tells of new states.

    Args:
        members: Members that are known.
        own: This node.
        sample: Draws a number of different members at random.

    Returns:
        A few nodes of the own data centre and of others.
    """
    home: list[model.Member] = []
    abroad: list[model.Member] = []
    for member in list_alive(members, own.instance):
        near = member.data_centre == own.data_centre
        (home if near else abroad).append(member)
    return [
        *sample(home, min(PUSHES_HOME, len(home))),
        *sample(abroad, min(PUSHES_ABROAD, len(abroad))),
    ]


T = typing.TypeVar('T')


def split_batches(
    items: collections.abc.Iterable[T],
    size: collections.abc.Callable[[T], int],
    limit: int,
) -> list[list[T]]:
    """Split items into batches that stay below a size.

    Args:
        items: The items.
        size: Returns the size of an item.
        limit: Largest size of a batch that has more than one item.

    Returns:
        The batches; at least one, which may be empty.
    """
    batches: list[list[T]] = [[]]
    used = 0
    for item in items:
        if batches[-1] and used + size(item) > limit:
            batches.append([])
            used = 0
        batches[-1].append(item)
        used += size(item)
    return batches
