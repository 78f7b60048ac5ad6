"""Departure of an upstream that its node has acknowledged."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Departure:
    """Departure of one start of an upstream.

    Attributes:
        upstream: Id of the upstream.
        started_ms: Unix time in milliseconds of its start; 0 when unknown.
            It identifies the start.
        sequence: Number of the heartbeat that announced the departure, which
            later heartbeats of the start may revoke; None after a
            deregistration, which is final.
    """

    upstream: str
    started_ms: int
    sequence: int | None = None
