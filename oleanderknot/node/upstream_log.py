"""Logs what the local upstream reports about itself."""

from oleanderknot import model
from oleanderknot.node import lifecycle_log


def log_heartbeat(event: str, report: model.UpstreamHeartbeat) -> None:
    """Log an event about an upstream with the heartbeat that caused it."""
    lifecycle_log.log_event(
        event,
        '%s %s' % (event.replace('_', ' '), report.upstream),
        upstream=report.upstream,
        service=report.service,
        started_ms=report.started_ms,
        sequence=report.sequence,
        draining=report.draining,
        slots=report.slots,
    )


def log_departure(
    event: str, message: str, departure: model.Departure, **fields: object
) -> None:
    """Log an event about the departure of an upstream."""
    lifecycle_log.log_event(
        event,
        message,
        upstream=departure.upstream,
        started_ms=departure.started_ms,
        sequence=departure.sequence,
        **fields,
    )
