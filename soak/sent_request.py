"""One request of a client and what it was told."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class SentRequest:
    """A client's attempt.

    Attributes:
        request_id: Its id.
        instance: Instance whose node it was sent to.
        method: HTTP method.
        target: Path and query.
        service: Service of its route.
        size: Bytes of the body that its whole answer has.
        sent_at: Monotonic time in seconds at which it was written whole; 0
            when it was not.
        ended_at: Monotonic time in seconds of its end.
        status: Status of the answer; 0 when there was none.
        mistake: How the answer differs from the whole own one; empty when it
            does not.
        error: Why there was no answer.
    """

    request_id: str
    instance: str
    method: str
    target: str
    service: str
    size: int
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    mistake: str = ''
    error: str = ''

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.method == 'GET'
