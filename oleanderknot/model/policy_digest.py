"""Digest of the policy that a node holds."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PolicyDigest:
    """Digest that shows whether two nodes hold the same policy.

    Attributes:
        count: Number of scopes that were set by a ticket.
        highest: Highest ticket number among them; 0 for none.
        hash: 63-bit hash of all scopes and their ticket numbers.
        complete: Number up to which the node holds the effects of all tickets;
            any state that it lacks has a higher number.
    """

    count: int
    highest: int
    hash: int
    complete: int
