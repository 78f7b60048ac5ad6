"""Limits on what a client may send."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Bounds on the requests and connections of clients.

    Attributes:
        max_header_bytes: Maximum size of a request head in bytes.
        max_body_bytes: Maximum size of a request body in bytes.
        header_timeout_s: Time in seconds within which a request head must be
            received.
        idle_timeout_s: Time in seconds after which an idle connection may
            be closed.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
