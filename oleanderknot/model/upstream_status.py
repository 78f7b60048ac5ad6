"""Answer of an upstream to a status check."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamStatus:
    """Answer of an upstream to a status check.

    Attributes:
        upstream: Id of the upstream; empty when the answer names none.
        healthy: Whether the upstream says that it is healthy and not leaving.
        closing: Whether it closes the connection, as one that leaves does.
    """

    upstream: str
    healthy: bool
    closing: bool
