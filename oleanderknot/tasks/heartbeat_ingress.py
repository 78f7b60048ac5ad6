"""Answers the heartbeats of the own upstream."""

import collections.abc

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.tasks import client_listener


def build_handler(
    *,
    order: decisions.HeartbeatFilter,
    take: collections.abc.Callable[
        [model.UpstreamHeartbeat], collections.abc.Awaitable[None]
    ],
    end: collections.abc.Callable[[], None],
) -> client_listener.HandleFunction:
    """Build the function that answers heartbeats.

    Args:
        order: Tells new heartbeats from late and foreign ones.
        take: Takes a new heartbeat; the answer waits for it.
        end: Called when the upstream says that it has left.

    Returns:
        The function.
    """

    async def handle(request: model.HttpRequest) -> model.HttpResponse:
        heartbeat = platform.heartbeat
        upstream, action = heartbeat.split_path(request.target)
        if request.method != 'POST' or not upstream:
            return model.HttpResponse(status=404)
        try:
            if action == heartbeat.DEREGISTER_ACTION:
                started_ms = heartbeat.parse_deregistration(request.content)
                if order.deregister(upstream, started_ms):
                    log_upstream('upstream_gone', order.current)
                    end()
                else:
                    logging.info(
                        'noted the departure of %s, which is not in use',
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
                if order.accept(report):
                    await take(report)
                else:
                    log_upstream('heartbeat_ignored', report)
        except ValueError as error:
            logging.warning(
                'refused a malformed heartbeat of %s: %s', upstream, error
            )
            return model.HttpResponse(status=400)
        return model.HttpResponse(
            status=200,
            headers=[(b'Content-Type', b'application/json')],
            content=b'{}',
        )

    return handle


def log_upstream(event: str, report: model.UpstreamHeartbeat) -> None:
    """Log what is believed about an upstream, with what decided it."""
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
