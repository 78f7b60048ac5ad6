"""Key of a non-idempotent request, bound to one node."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderKey:
    """An idempotency key whose request only its home node may run.

    The home is one incarnation of one node.

    Attributes:
        instance: Instance of the home node.
        incarnation: Incarnation of the home node.
        created_at: Wall-clock creation time in seconds since 1970 (UTC).
        nonce: Random text that makes the key unique.
    """

    instance: str
    incarnation: int
    created_at: int
    nonce: str
