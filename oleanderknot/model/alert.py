"""Alert for operators."""

import dataclasses

from oleanderknot.model import alert_kind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Alert:
    """An alert; nodes that detect the same condition use the same id.

    Attributes:
        id: Unique id of the condition.
        kind: Kind of the condition.
        subject: Instance, data centre or service that it concerns.
        by: Instance that raised it.
        data_centre: Data centre of that instance.
        at: Wall-clock time in seconds since 1970 (UTC).
        posted: Whether it was delivered to the webhook.
        acknowledged_by: Operator who acknowledged it; empty for none.
        acknowledged_at: Wall-clock time of the acknowledgement; 0 for
            none.
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
