"""Policy that applies to all services."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GlobalPolicy:
    """Complete policy that applies to all services.

    Attributes:
        retry_ratio: Retries of a node as a fraction of its successful calls.
        retry_minimum: Retries allowed in 10 s regardless of the number of
            successful calls.
    """

    retry_ratio: float = 0.1
    retry_minimum: int = 3
