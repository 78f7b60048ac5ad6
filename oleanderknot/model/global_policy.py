"""Policy that holds for all services."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GlobalPolicy:
    """Policy that holds for all services, whole.

    Attributes:
        retry_ratio: Retries of a node as a share of its successes.
        retry_minimum: Retries allowed in 10 s whatever the successes.
    """

    retry_ratio: float = 0.1
    retry_minimum: int = 3
