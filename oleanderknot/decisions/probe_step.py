"""Steps of the failure detector."""

import dataclasses
import enum


class ProbeAction(enum.Enum):
    """Action that the failure detector requests for a member."""

    PROBE = 'probe'
    ASK_OTHERS = 'ask others'
    SUSPECT = 'suspect'
    DECLARE_DEAD = 'declare dead'
    CONTACT = 'contact'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeStep:
    """One step of the failure detector.

    Attributes:
        action: The requested action.
        instance: The member to which the action applies.
    """

    action: ProbeAction
    instance: str
