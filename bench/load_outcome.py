"""Outcome of one request of the load generator."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadOutcome:
    """Outcome of one request, including its retries.

    Attributes:
        kind: Name of the kind of request.
        started_s: Start of the first attempt, in seconds from the load start.
        ended_s: End of the last attempt, in seconds from the load start.
        succeeded: Whether the client received a complete successful response.
        attempts: Trace id, status and rule of each attempt; status 0 if it
            timed out or lost its connection.
    """

    kind: str
    started_s: float
    ended_s: float = 0.0
    succeeded: bool = False
    attempts: list[tuple[str, int, str]] = dataclasses.field(
        default_factory=list
    )
