"""One call in the test of even load."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class PlayedCall:
    """One call of a node.

    Attributes:
        node: Number of the node that makes it.
        started_at: Time in seconds at which the node had it.
        work_s: Service time in seconds at speed 1.
        counted: Whether the results include it.
        tried: Upstreams that returned it.
        upstream: Number of the upstream that it is at; -1 at its node.
        sent_at: Time in seconds at which its node sent it.
        arrived_at: Time in seconds of its arrival at the upstream.
        messages: Messages that were sent for it.
    """

    node: int
    started_at: float
    work_s: float
    counted: bool
    tried: set[str] = dataclasses.field(default_factory=set)
    upstream: int = -1
    sent_at: float = 0.0
    arrived_at: float = 0.0
    messages: int = 0
