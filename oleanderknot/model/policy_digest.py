"""Short description of all policy that a node holds."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PolicyDigest:
    """Tells whether two nodes hold the same policy.

    Attributes:
        count: Number of scopes that a ticket has set.
        highest: Highest ticket number among them; 0 for none.
        hash: 63-bit hash of all scopes and their numbers.
        complete: The node holds the effect of every ticket up to this
            number, so it lacks at most states with a higher one.
    """

    count: int
    highest: int
    hash: int
    complete: int
