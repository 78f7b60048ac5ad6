"""Answer to a request for tokens or for support."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaGrant:
    """Answer of one node to a request of another about rate limits.

    Attributes:
        number: Number of the request.
        tokens: Tokens that the receiver may use.
        lifetime_s: Seconds after the request was sent at which they expire.
        wait_s: Seconds until the sender expects to have a token.
        queued: Whether the request waits, and another answer follows.
        declined: Whether the sender does not serve or support the receiver.
        heard: Nodes that the receiver has lost and the sender has not.
    """

    number: int
    tokens: int = 0
    lifetime_s: float = 0.0
    wait_s: float = 0.0
    queued: bool = False
    declined: bool = False
    heard: tuple[str, ...] = ()
