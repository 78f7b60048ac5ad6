"""Claim on a caller-supplied idempotency key."""

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
    """Known state of a claim row after an attempt to write it.

    Attributes:
        state: ``OWN`` when the row holds the written claim, ``HELD`` when
            another claim holds the key, ``REFUSED`` when the row records an
            earlier refusal, ``UNKNOWN`` when the table gave no definite
            answer.
        instance: Instance that holds the claim.
        incarnation: Incarnation of the holder.
        digest: Request digest stored in the row; empty when unknown.
        detail: Why the state is unknown.
    """

    state: ClaimState
    instance: str = ''
    incarnation: int = 0
    digest: bytes = b''
    detail: str = ''
