"""Reads lines of a node's log."""

import datetime

import pydantic

from oleanderknot import model


class LogLine(pydantic.BaseModel):
    """Fields of a line that are read; lines of one kind have more."""

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
    """Read one line.

    Args:
        text: The line; what collectors write before the JSON object, such as
            the name of the machine, is skipped.

    Raises:
        ValueError: It holds no log line of a node.
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
