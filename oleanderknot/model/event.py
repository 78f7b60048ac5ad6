"""Event reported to operators."""

import dataclasses

from oleanderknot.model import event_kind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """An event at a point in time.

    Attributes:
        at: Wall-clock time in seconds since 1970 (UTC).
        kind: Kind of the event.
        subject: Instance or ticket that it concerns.
        service: Service of the upstream; empty for none.
    """

    at: float
    kind: event_kind.EventKind
    subject: str
    service: str = ''
