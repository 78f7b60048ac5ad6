"""Status of a ticket in one data centre."""

import dataclasses

from oleanderknot.model import node_policy


@dataclasses.dataclass(slots=True, kw_only=True)
class DataCentreTicketStatus:
    """Nodes of one data centre, grouped by their status for a ticket.

    Attributes:
        in_force: Instances where the ticket or a later one is in force.
        not_yet: Instances that responded and do not have it in force yet.
        not_asked: Nodes that could not be queried.
    """

    in_force: list[str] = dataclasses.field(default_factory=list)
    not_yet: list[str] = dataclasses.field(default_factory=list)
    not_asked: list[node_policy.NodePolicy] = dataclasses.field(
        default_factory=list
    )
