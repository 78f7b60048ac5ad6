"""Metadata of a client's request."""

import dataclasses

from oleanderknot.model import call


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestMetadata:
    """Decoded headers of a client's request.

    Attributes:
        request_id: Id of this attempt of the client; empty when missing.
        host: Host that it names, in lower case without a port.
        client_timeout_s: Seconds that the client will wait; None when not
            given.
        headers: End-to-end headers that are forwarded unchanged.
        key_digest: Hexadecimal SHA-256 digest of its API key; empty if it
            carries none, or more than one.
        has_credentials: Whether it carries credentials of any kind.
    """

    request_id: str
    host: str
    client_timeout_s: float | None
    headers: call.Headers
    key_digest: str = ''
    has_credentials: bool = False
