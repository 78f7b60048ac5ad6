"""Answer of an upstream to a status check."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamStatus:
    """Answer of an upstream to a status check.

    Attributes:
        upstream: Id of the upstream; empty when the answer names none.
        unavailable: Whether the upstream answers with status 503, as one that
            leaves, is full or fails its own health check does.
        closing: Whether it closes the connection, as one that leaves does.
    """

    upstream: str
    unavailable: bool
    closing: bool
