"""Poll interval, push targets and batches for new tickets."""

import collections.abc
import typing

from oleanderknot import model

# The nodes of a data centre together poll the table every 0.5 s on average.
POLL_PERIOD_S = 0.5

# A node that is alone in its data centre must see a ticket within 7 s after
# the table service recovers, so its back-off is limited to 2 s, to which
# jitter adds up to half.
MAX_BACK_OFF_S = 2.0

# Each node forwards a new ticket to 4 others, which reaches 98 % of the nodes.
# The rest receive it through the exchange of digests.
LOCAL_PUSHES = 4
REMOTE_PUSHES = 2

ALIVE_STATES = (
    model.MemberState.JOINING,
    model.MemberState.TAKING,
    model.MemberState.SUSPECT,
    model.MemberState.LEAVING,
)

SampleFunction = collections.abc.Callable[
    [list[model.Member], int], list[model.Member]
]


def compute_poll_delay(*, nodes: int, failures: int, draw: float) -> float:
    """Return the delay until the next poll of the table service.

    Args:
        nodes: Number of nodes of the local data centre that are alive,
            including this one.
        failures: Consecutive failed polls since the last success.
        draw: Random number from 0 up to 1, exclusive.

    Returns:
        Seconds; all nodes of a data centre together poll twice a second.
    """
    period = POLL_PERIOD_S * max(1, nodes)
    longest = max(period, MAX_BACK_OFF_S)
    period = min(period * 2 ** min(failures, 10), longest)
    return period * (0.5 + draw)


def list_alive_peers(
    members: collections.abc.Iterable[model.Member], own: str
) -> list[model.Member]:
    """Return all other members that may still be reachable."""
    return [
        member
        for member in members
        if member.instance != own and member.state in ALIVE_STATES
    ]


def choose_push_targets(
    members: collections.abc.Iterable[model.Member],
    own: model.NodeIdentity,
    sample: SampleFunction,
) -> list[model.Member]:
    """Choose the nodes to which a node pushes new states.

    Args:
        members: Known members.
        own: Identity of this node.
        sample: Returns a random sample of distinct members of a given size.

    Returns:
        A few nodes of the local data centre and of other data centres.
    """
    local: list[model.Member] = []
    remote: list[model.Member] = []
    for member in list_alive_peers(members, own.instance):
        is_local = member.data_centre == own.data_centre
        (local if is_local else remote).append(member)
    return [
        *sample(local, min(LOCAL_PUSHES, len(local))),
        *sample(remote, min(REMOTE_PUSHES, len(remote))),
    ]


T = typing.TypeVar('T')


def split_batches(
    items: collections.abc.Iterable[T],
    size: collections.abc.Callable[[T], int],
    limit: int,
) -> list[list[T]]:
    """Split items into batches of limited size.

    Args:
        items: The items.
        size: Returns the size of an item.
        limit: Maximum size of a batch with more than one item.

    Returns:
        One or more batches; a single batch may be empty.
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
