"""HTTP response as received from its connection."""

import dataclasses

from oleanderknot import model


@dataclasses.dataclass(slots=True, kw_only=True)
class RawAnswer:
    """Complete response of a server.

    Attributes:
        status: HTTP status code.
        metadata: Decoded headers.
        content: Complete body.
    """

    status: int
    metadata: model.ResponseMetadata
    content: bytes
