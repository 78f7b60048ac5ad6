"""Request for tokens of an organisation, or for support."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaRequest:
    """Request of one node to another about rate limits.

    Attributes:
        number: Number that the sender has given it.
        organisation: Organisation whose tokens are requested; empty to ask
            whether the receiver supports the sender as a home.
        tokens: Tokens that the sender can use.
        wait_s: Seconds for which the sender can wait for them.
        lending: Whether it is sent between homes; it is not queued.
        lost: Nodes that the sender cannot reach, when it asks for support.
    """

    number: int
    organisation: str = ''
    tokens: int = 0
    wait_s: float = 0.0
    lending: bool = False
    lost: tuple[str, ...] = ()
