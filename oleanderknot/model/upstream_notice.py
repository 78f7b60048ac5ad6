"""What an upstream says about itself in its answers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamNotice:
    """Notice of an upstream to all that send to it.

    The node beside the upstream passes it to callers with its load reports.
    They send it back with their calls, so that the node knows it again after
    a restart.

    Attributes:
        upstream: Id of the start of the upstream.
        rate: Requests per second that it takes from all nodes together; None
            without a limit.
        leaving: Whether it is leaving and takes no new requests.
    """

    upstream: str
    rate: float | None = None
    leaving: bool = False
