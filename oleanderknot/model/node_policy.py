"""Policy that a node has said to hold."""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodePolicy:
    """Policy that a node holds, as it answered an operator.

    Attributes:
        instance: Name of the instance.
        data_centre: Data centre of the instance.
        complete: The effect of every ticket up to this number is in force.
        scopes: Number of the ticket in force by scope.
        fault: Why the node could not be asked; empty when it answered.
    """

    instance: str
    data_centre: str
    complete: int = 0
    scopes: collections.abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    fault: str = ''
