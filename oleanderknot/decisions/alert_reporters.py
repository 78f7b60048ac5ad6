"""Chooses who raises alerts about what many nodes see."""

import collections.abc

from oleanderknot import model

# Two, so that the failure of one does not keep an alert back.
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
    """Return whether a node speaks for its data centre.

    Without it, an outage of the platform would be posted by 1,200 nodes.

    Args:
        members: Records that are known.
        identity: The node.
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
    """Return the data centres all of whose members are dead.

    Members that left on purpose do not count.

    Args:
        members: Records that are known.
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
