"""One line of a node's log."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogEntry:
    """What a log line says, with empty values for what it leaves out.

    Attributes:
        at: Wall-clock time in seconds since 1970 (UTC), of the node's clock.
        instance: Instance whose node wrote the line.
        event: Kind of the line; empty for plain messages.
        message: Text of the line.
        request: Id of the request or call that it is about.
        trace: Trace id that a request shares with its calls.
        verdict: What became of the call.
        service: Service that the call asked for.
        route: Name of the route.
        policy: Version of the traffic policy that the call began under.
        attempts: Instance and rule of each failed attempt.
        left_ms: Milliseconds until the deadline; None when not said.
        took_ms: Milliseconds at the upstream's node; None when not said.
        running: Calls that ran at the upstream; None when not said.
        queued: Calls that waited there; None when not said.
        limit: Calls that might run there at once; None when not said.
        left_out: Lines that the node left out before this one.
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
