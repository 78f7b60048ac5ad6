"""One request of a client and its outcome."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class SentRequest:
    """A request that a client sent.

    Attributes:
        request_id: Request id.
        instance: Instance whose node received it.
        method: HTTP method.
        target: Path and query.
        service: Service of its route.
        size: Expected size of the response body in bytes.
        key: API key that it carries; empty for none.
        organisation: Organisation that held the key at the start of the run;
            empty for none.
        anonymous: Whether its route needs no key.
        claimed_organisation: Organisation that the client names in
            ``Tenant-Name``; empty without the header.
        unread: Whether a response that closes the connection came in place of
            its response, so that it counts as unread.
        resent_at: Monotonic time in seconds at which it was sent again after
            that; 0 if it was not.
        closing: Whether it asks for the end of its connection.
        sent_at: Monotonic time in seconds at which it was completely written;
            0 if it was not.
        ended_at: Monotonic time in seconds at which it ended.
        status: HTTP status of the response; 0 if there was none.
        mismatch: How the response differs from the expected one; empty if it
            does not.
        error: Why there was no response.
    """

    request_id: str
    instance: str
    method: str
    target: str
    service: str
    size: int
    key: str = ''
    organisation: str = ''
    anonymous: bool = False
    claimed_organisation: str = ''
    unread: bool = False
    resent_at: float = 0.0
    closing: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    mismatch: str = ''
    error: str = ''

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.method == 'GET'
