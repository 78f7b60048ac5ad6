"""List of upstreams with the versions of what it was built from."""

import dataclasses

from oleanderknot import decisions


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeptList:
    """List of the upstreams of a service, and when it is out of date.

    Attributes:
        upstreams: The list.
        unreachable: Instances that it leaves out as unreachable.
        member_version: Version of the records of members.
        policy_version: Version of the policy.
        load_version: Version of the loads.
    """

    upstreams: decisions.UpstreamList
    unreachable: frozenset[str]
    member_version: int
    policy_version: int
    load_version: int
