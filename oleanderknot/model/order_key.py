"""Key of a non-idempotent request that one node may run."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderKey:
    """A home key: only one life of one node may run it.

    Attributes:
        instance: Instance of the home.
        incarnation: Life of the home.
        created_at: Wall-clock time in seconds since 1970 (UTC).
        nonce: Random text that makes the key unique.
    """

    instance: str
    incarnation: int
    created_at: int
    nonce: str
