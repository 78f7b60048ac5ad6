"""What becomes of a heartbeat or of a deregistration."""

import enum


class HeartbeatOutcome(enum.Enum):
    """What becomes of a heartbeat or of a deregistration.

    Attributes:
        ACCEPTED: It is in force.
        IGNORED: It is outdated or not about the upstream of this node.
        UNCONFIRMED: It may be about the live process or about an earlier
            one, so it must not be acknowledged. A live process repeats it.
    """

    ACCEPTED = 'accepted'
    IGNORED = 'ignored'
    UNCONFIRMED = 'unconfirmed'
