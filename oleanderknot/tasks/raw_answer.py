"""Answer of an upstream as its connection received it."""

import dataclasses

from oleanderknot import model


@dataclasses.dataclass(slots=True, kw_only=True)
class RawAnswer:
    """One whole answer.

    Attributes:
        status: Status code.
        facts: Decoded headers.
        content: The body.
    """

    status: int
    facts: model.ResponseMetadata
    content: bytes
