"""State of a member."""

import enum


class MemberState(enum.IntEnum):
    """State of a node and its upstream, in increasing order of severity."""

    JOINING = 0
    TAKING = 1
    SUSPECT = 2
    LEAVING = 3
    LEFT = 4
    DEAD = 5
