"""Identity of a node."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeIdentity:
    """One life of one node.

    Attributes:
        instance: Name of the instance, unique in the whole system.
        incarnation: Rises with each start of the node.
        data_centre: Data centre of the instance.
    """

    instance: str
    incarnation: int
    data_centre: str
