"""Tokens that a home issues in response to a request."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaIssue:
    """Response of a home to one request for tokens.

    Attributes:
        requester: Instance that sent the request.
        number: Number of the request.
        tokens: Tokens issued.
        lifetime_s: Seconds after the request was sent at which they expire.
        wait_s: Seconds until the home expects to have a token.
    """

    requester: str
    number: int
    tokens: int
    lifetime_s: float
    wait_s: float
