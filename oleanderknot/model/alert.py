"""Something that an operator has to know."""

import dataclasses

from oleanderknot.model import alert_kind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Alert:
    """An alert; equal conditions seen by several nodes have the same id.

    Attributes:
        id: Id, unique for each condition.
        kind: What is wrong.
        subject: Instance, data centre or service that it concerns.
        by: Instance that raised it.
        data_centre: Data centre of that instance.
        at: Wall-clock time in seconds since 1970 (UTC).
        posted: Whether it has reached the webhook.
        acknowledged_by: Operator who acknowledged it; empty for none.
        acknowledged_at: Wall-clock time of that; 0 for none.
    """

    id: str
    kind: alert_kind.AlertKind
    subject: str
    by: str
    data_centre: str
    at: float
    posted: bool = False
    acknowledged_by: str = ''
    acknowledged_at: float = 0.0
