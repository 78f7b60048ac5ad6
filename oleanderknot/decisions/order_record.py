"""What the home of a key remembers about it."""

import dataclasses

from oleanderknot import model


@dataclasses.dataclass(slots=True, kw_only=True)
class OrderRecord:
    """One key at its home.

    Attributes:
        state: ``RUNNING``, ``DONE`` or ``REFUSED``.
        digest: Digest of the request; a repeat must have the same.
        expires_at: Wall-clock time in seconds after which the record may be
            dropped, once it no longer runs.
        answer: The answer, when it was short enough to keep.
        refusal: Why there is no answer; its verdict is ``not run`` exactly
            for a refused key.
        size: Bytes of the kept answer.
        body_digest: Digest of a request body that arrived in parts, once it
            has arrived whole.
    """

    state: model.OrderState
    digest: bytes
    expires_at: float
    answer: model.Answer | None = None
    refusal: model.Refusal | None = None
    size: int = 0
    body_digest: bytes = b''
