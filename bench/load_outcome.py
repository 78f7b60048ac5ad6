"""Outcome of one request of the load generator."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadOutcome:
    """What became of one request, with the repeats of its client.

    Attributes:
        kind: Name of its kind.
        started_s: Seconds from the start of the load to its first attempt.
        ended_s: Seconds from the start of the load to its end.
        whole: Whether the client got the whole answer in time.
        attempts: Trace id, status and rule of each attempt; status 0 when
            the client gave up waiting or lost its connection.
    """

    kind: str
    started_s: float
    ended_s: float = 0.0
    whole: bool = False
    attempts: list[tuple[str, int, str]] = dataclasses.field(
        default_factory=list
    )
