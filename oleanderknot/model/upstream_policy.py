"""Policy of one upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamPolicy:
    """Complete policy of one upstream.

    Attributes:
        instance: Name of the upstream's instance.
        taking_work: Whether new calls are sent to the upstream.
    """

    instance: str
    taking_work: bool
