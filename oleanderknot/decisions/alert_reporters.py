"""Selects the nodes that raise alerts about conditions seen by many."""

import collections.abc

from oleanderknot import model

# Two, so that the failure of one does not suppress an alert.
REPORTERS_PER_DATA_CENTRE = 2

PRESENT_STATES = (
    model.MemberState.JOINING,
    model.MemberState.TAKING,
    model.MemberState.LEAVING,
)


def is_reporter(
    members: collections.abc.Iterable[model.Member],
    identity: model.NodeIdentity,
) -> bool:
    """Return whether a node raises the shared alerts of its data centre.

    Without this selection, 1,200 nodes would post an outage of the platform.

    Args:
        members: Known member records.
        identity: Identity of the node.
    """
    before = sum(
        member.instance < identity.instance
        for member in members
        if member.data_centre == identity.data_centre
        and member.state in PRESENT_STATES
    )
    return before < REPORTERS_PER_DATA_CENTRE


def find_dead_data_centres(
    members: collections.abc.Iterable[model.Member], own_data_centre: str
) -> set[str]:
    """Return the other data centres all of whose members are dead.

    Members that have left in an orderly way are ignored.

    Args:
        members: Known member records.
        own_data_centre: Data centre of the node that asks; it is never in
            the result.
    """
    dead: set[str] = set()
    alive: set[str] = set()
    for member in members:
        if member.state is model.MemberState.DEAD:
            dead.add(member.data_centre)
        elif member.state is not model.MemberState.LEFT:
            alive.add(member.data_centre)
    return dead - alive - {own_data_centre}
