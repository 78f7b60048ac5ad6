"""Heartbeat of an upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamHeartbeat:
    """Heartbeat in which an upstream reports its state.

    Attributes:
        upstream: Id of this start of the upstream.
        started_ms: Unix time in milliseconds of its start; 0 when unknown.
        sequence: Number of the heartbeat within this start.
        service: Service that the upstream provides.
        host: IP address.
        port: TCP port.
        slots: Calls that it can run concurrently.
        draining: Whether it is draining before it leaves.
        warmup_remaining_s: Seconds until it is warm; until then it is slower.
    """

    upstream: str
    started_ms: int
    sequence: int
    service: str
    host: str
    port: int
    slots: int
    draining: bool
    warmup_remaining_s: float
