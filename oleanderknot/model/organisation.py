"""Organisation whose clients identify themselves with API keys."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """Keys, priority and request limit of one organisation.

    Attributes:
        name: Name of the organisation.
        key_digests: Hexadecimal SHA-256 digests of its API keys.
        priority: Priority of its requests, which takes precedence over that
            of the route; 0 is the highest. None for the route's.
        rate: Requests per second that it may send to all nodes together;
            None for no limit.
        burst: Requests that it may send at once on top of the rate.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: int | None = None
    rate: float | None = None
    burst: float = 0.0
