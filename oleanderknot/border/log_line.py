"""Parses the JSON lines of a node's log."""

import datetime

import pydantic

from oleanderknot import model


class LogLine(pydantic.BaseModel):
    """Fields read from a log line; other fields are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    time: datetime.datetime
    instance: str
    message: str
    event: str = ''
    request: str = ''
    trace: str = ''
    verdict: str = ''
    service: str = ''
    route: str = ''
    ticket: int = 0
    attempts: tuple[str, ...] = ()
    left_ms: float | None = None
    took_ms: float | None = None
    upstream_running: float | None = None
    upstream_queued: float | None = None
    upstream_limit: float | None = None
    left_out: int = 0


def parse_log_line(text: str) -> model.LogEntry:
    """Parse one log line.

    Args:
        text: The line; any prefix that a log collector adds before the JSON
            object, such as a host name, is skipped.

    Raises:
        ValueError: The text does not contain a valid log line of a node.
    """
    line = LogLine.model_validate_json(text[max(0, text.find('{')) :])
    return model.LogEntry(
        at=line.time.timestamp(),
        instance=line.instance,
        event=line.event,
        message=line.message,
        request=line.request,
        trace=line.trace,
        verdict=line.verdict,
        service=line.service,
        route=line.route,
        policy=line.ticket,
        attempts=line.attempts,
        left_ms=line.left_ms,
        took_ms=line.took_ms,
        running=line.upstream_running,
        queued=line.upstream_queued,
        limit=line.upstream_limit,
        left_out=line.left_out,
    )
