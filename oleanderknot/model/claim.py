"""What is known about the claim of a caller-made key."""

import dataclasses
import enum


class ClaimState(enum.Enum):
    """Outcome of a write to the claim row of a key."""

    OWN = 'own'
    HELD = 'held'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Claim row of a key after an attempt to write it.

    Attributes:
        state: ``OWN`` when the row holds what was written, ``HELD`` when
            another write holds the key, ``REFUSED`` when the row holds an
            earlier refusal, ``UNKNOWN`` when the table did not say.
        instance: Instance of the holder.
        incarnation: Life of the holder.
        digest: Digest of the request in the row; empty when not known.
        detail: Why the state is unknown.
    """

    state: ClaimState
    instance: str = ''
    incarnation: int = 0
    digest: bytes = b''
    detail: str = ''
