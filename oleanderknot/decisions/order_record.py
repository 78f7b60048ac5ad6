"""Record of an order key at its home node."""

import dataclasses

from oleanderknot import model


@dataclasses.dataclass(slots=True, kw_only=True)
class OrderRecord:
    """Idempotency record of one order key.

    Attributes:
        state: ``RUNNING``, ``DONE`` or ``REFUSED``.
        digest: Digest of the request, which a repeat must match.
        expires_at: Wall-clock time in seconds after which the record may be
            dropped, unless the order is still running.
        answer: The answer, if it was short enough to store.
        refusal: Reason why there is no answer. Its verdict is ``not run`` if
            and only if the state is ``REFUSED``.
        size: Size of the stored answer in bytes.
        body_digest: Digest of a request body that arrived in parts, set when
            the body is complete.
    """

    state: model.OrderState
    digest: bytes
    expires_at: float
    answer: model.Answer | None = None
    refusal: model.Refusal | None = None
    size: int = 0
    body_digest: bytes = b''
