"""Policy held by a node, as reported to an operator."""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodePolicy:
    """Ticket numbers that a node reported for its policy.

    Attributes:
        instance: Name of the instance.
        data_centre: Data centre of the instance.
        complete: Highest number up to which the effects of all tickets are in
            force.
        scopes: Number of the ticket in force, by scope.
        fault: Why the node could not be queried; empty when it responded.
    """

    instance: str
    data_centre: str
    complete: int = 0
    scopes: collections.abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    fault: str = ''
