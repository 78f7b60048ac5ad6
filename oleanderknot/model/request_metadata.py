"""What a client's request says about itself."""

import dataclasses

from oleanderknot.model import call


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestMetadata:
    """Decoded headers of a client's request.

    Attributes:
        request_id: Id of this attempt of the client; empty when missing.
        host: Host that it names, in lower case without a port.
        client_timeout_s: Seconds that the client will wait; None when it does
            not say.
        headers: End-to-end headers that are passed on as they are.
    """

    request_id: str
    host: str
    client_timeout_s: float | None
    headers: call.Headers
