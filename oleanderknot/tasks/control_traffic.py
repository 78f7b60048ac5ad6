"""Byte counters of the control traffic of a node."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ControlTraffic:
    """Counts the bytes of frames outside calls, over all peer connections.

    Attributes:
        sent: Bytes sent.
        received: Bytes received.
    """

    sent: int = 0
    received: int = 0
