"""What an upstream says about itself."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamHeartbeat:
    """A heartbeat of an upstream.

    Attributes:
        upstream: Id of this start of the upstream.
        started_ms: Unix time in milliseconds of its start; 0 when unknown.
        sequence: Number of the heartbeat within this start.
        service: Service that it offers.
        host: IP address.
        port: TCP port.
        slots: Calls that it can run at once.
        draining: Whether it is about to leave.
        warmup_remaining_s: Seconds for which it stays slow after its start.
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
