"""Bounds on the connections of clients."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientBounds:
    """Bounds from the settings of the node, beside those of the policy.

    Attributes:
        max_connections: Maximum number of open connections of a listener.
        progress_period_s: Time in seconds in which a client must transfer
            ``progress_bytes`` while it sends a request or receives a response.
        progress_bytes: Bytes that it must transfer.
    """

    max_connections: int = 1024
    progress_period_s: float = 15.0
    progress_bytes: int = 64
