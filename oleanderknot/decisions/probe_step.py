"""Steps of failure detection."""

import dataclasses
import enum


class ProbeAction(enum.Enum):
    """What the node is to do about a member."""

    PROBE = 'probe'
    ASK_OTHERS = 'ask others'
    SUSPECT = 'suspect'
    DECLARE_DEAD = 'declare dead'
    CONTACT = 'contact'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeStep:
    """One step of failure detection.

    Attributes:
        action: What to do.
        instance: The member that it concerns.
    """

    action: ProbeAction
    instance: str
