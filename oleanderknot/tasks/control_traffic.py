"""Bytes that a node spends on control."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ControlTraffic:
    """Bytes of frames that belong to no call, over all connections.

    Attributes:
        sent: Bytes sent.
        received: Bytes received.
    """

    sent: int = 0
    received: int = 0
