"""Parsed line of a node's log."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogEntry:
    """Fields of a log line; fields that the line lacks are empty.

    Attributes:
        at: Wall-clock time of the node in seconds since 1970 (UTC).
        instance: Instance of the node that wrote the line.
        event: Kind of the line; empty for plain messages.
        message: Text of the line.
        request: Id of the request or call that the line refers to.
        trace: Trace id shared by a request and its calls.
        verdict: Outcome of the call.
        service: Requested service.
        route: Name of the route.
        policy: Version of the traffic policy in force when the call started.
        attempts: Instance and rule of each failed attempt.
        left_ms: Milliseconds remaining until the deadline; None when absent.
        took_ms: Duration in milliseconds at the upstream's node; None when
            absent.
        running: Calls running at the upstream; None when absent.
        queued: Calls queued at the upstream; None when absent.
        limit: Concurrency limit of the upstream, in calls; None when absent.
        left_out: Number of lines that the node suppressed before this one.
    """

    at: float
    instance: str
    event: str
    message: str
    request: str
    trace: str
    verdict: str
    service: str
    route: str
    policy: int
    attempts: tuple[str, ...]
    left_ms: float | None
    took_ms: float | None
    running: float | None
    queued: float | None
    limit: float | None
    left_out: int
