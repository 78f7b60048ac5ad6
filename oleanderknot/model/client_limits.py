"""Limits on what a client may send."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Bounds on the requests and connections of clients.

    Attributes:
        max_header_bytes: Most bytes of a request's head.
        max_body_bytes: Most bytes of a request's body.
        header_timeout_s: Longest time in seconds for a request's head.
        idle_timeout_s: Time in seconds after which an idle connection may
            be closed.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
