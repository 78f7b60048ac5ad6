"""Identity of a node."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeIdentity:
    """Identity of one incarnation of a node.

    Attributes:
        instance: Name of the instance, unique across the system.
        incarnation: Number that increases with each start of the node.
        data_centre: Data centre of the instance.
    """

    instance: str
    incarnation: int
    data_centre: str
