"""Policy of one upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamPolicy:
    """Policy of one upstream, whole.

    Attributes:
        instance: Name of the upstream's instance.
        taking_work: Whether the upstream is given new work.
    """

    instance: str
    taking_work: bool
