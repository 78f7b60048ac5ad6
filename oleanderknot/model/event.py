"""An event that operators are told about."""

import dataclasses

from oleanderknot.model import event_kind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Something that happened at a moment.

    Attributes:
        at: Wall-clock time in seconds since 1970 (UTC).
        kind: What happened.
        subject: Instance or ticket that it concerns.
        service: Service of the upstream; empty for none.
    """

    at: float
    kind: event_kind.EventKind
    subject: str
    service: str = ''
