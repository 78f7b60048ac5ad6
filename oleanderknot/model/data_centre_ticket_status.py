"""Where a ticket is in force."""

import dataclasses

from oleanderknot.model import node_policy


@dataclasses.dataclass(slots=True, kw_only=True)
class DataCentreTicketStatus:
    """Nodes of one data centre by what they said about a ticket.

    Attributes:
        in_force: Instances where the ticket or a later one is in force.
        not_yet: Instances that answered and do not have it yet.
        not_asked: Nodes that could not be asked.
    """

    in_force: list[str] = dataclasses.field(default_factory=list)
    not_yet: list[str] = dataclasses.field(default_factory=list)
    not_asked: list[node_policy.NodePolicy] = dataclasses.field(
        default_factory=list
    )
