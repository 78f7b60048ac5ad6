"""Handles heartbeats and deregistrations of the local upstream."""

import collections.abc

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.tasks import client_listener


def build_handler(
    *,
    heartbeat_filter: decisions.HeartbeatFilter,
    on_heartbeat: collections.abc.Callable[
        [model.UpstreamHeartbeat], collections.abc.Awaitable[None]
    ],
    on_deregister: collections.abc.Callable[[], None],
) -> client_listener.HandleFunction:
    """Build the request handler for heartbeats.

    Args:
        heartbeat_filter: Distinguishes new heartbeats from late ones and from
            those of other upstreams.
        on_heartbeat: Awaited with each new heartbeat before the response is
            sent.
        on_deregister: Called when the current upstream has deregistered.

    Returns:
        The handler.
    """

    async def handle(request: model.HttpRequest) -> model.HttpResponse:
        heartbeat = platform.heartbeat
        upstream, action = heartbeat.split_path(request.target)
        if request.method != 'POST' or not upstream:
            return model.HttpResponse(status=404)
        try:
            if action == heartbeat.DEREGISTER_ACTION:
                started_ms = heartbeat.parse_deregistration(request.content)
                if heartbeat_filter.deregister(upstream, started_ms):
                    log_upstream_event(
                        'upstream_gone', heartbeat_filter.current
                    )
                    on_deregister()
                else:
                    logging.info(
                        'recorded the deregistration of %s, which is not the'
                        ' current upstream',
                        upstream,
                        extra={
                            'call_fields': {
                                'event': 'departure_noted',
                                'upstream': upstream,
                                'started_ms': started_ms,
                            }
                        },
                    )
            else:
                report = heartbeat.parse_heartbeat(upstream, request.content)
                if heartbeat_filter.accept(report):
                    await on_heartbeat(report)
                else:
                    log_upstream_event('heartbeat_ignored', report)
        except ValueError as error:
            logging.warning(
                'rejected a malformed heartbeat of %s: %s', upstream, error
            )
            return model.HttpResponse(status=400)
        return model.HttpResponse(
            status=200,
            headers=[(b'Content-Type', b'application/json')],
            content=b'{}',
        )

    return handle


def log_upstream_event(event: str, report: model.UpstreamHeartbeat) -> None:
    """Log an event about an upstream with the heartbeat that caused it."""
    logging.info(
        '%s %s',
        event.replace('_', ' '),
        report.upstream,
        extra={
            'call_fields': {
                'event': event,
                'upstream': report.upstream,
                'service': report.service,
                'started_ms': report.started_ms,
                'sequence': report.sequence,
                'draining': report.draining,
                'slots': report.slots,
            }
        },
    )
