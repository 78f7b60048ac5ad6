"""State of one scope under a ticket."""

import dataclasses

from oleanderknot.model import global_policy
from oleanderknot.model import service_policy
from oleanderknot.model import upstream_policy

Policy = (
    global_policy.GlobalPolicy
    | service_policy.ServicePolicy
    | upstream_policy.UpstreamPolicy
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScopeState:
    """Complete state of one scope.

    Attributes:
        scope: ``global``, ``service/<name>`` or ``upstream/<instance>``.
        number: Number of the ticket that set it; 0 for the built-in state.
        policy: The policy in force for the scope.
    """

    scope: str
    number: int
    policy: Policy
