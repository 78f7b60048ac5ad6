"""Handles heartbeats and deregistrations of the local upstream."""

import collections.abc

from absl import logging

from oleanderknot import model
from oleanderknot import platform
from oleanderknot.tasks import client_listener


def build_handler(
    *,
    on_heartbeat: collections.abc.Callable[
        [model.UpstreamHeartbeat], collections.abc.Awaitable[bool]
    ],
    on_deregister: collections.abc.Callable[
        [str, int], collections.abc.Awaitable[bool]
    ],
) -> client_listener.HandleFunction:
    """Build the request handler for heartbeats.

    Args:
        on_heartbeat: Awaited with each heartbeat; returns whether to
            acknowledge it.
        on_deregister: Awaited with the id and the start of an upstream that
            deregisters; returns whether to acknowledge that.

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
                acknowledged = await on_deregister(upstream, started_ms)
            else:
                report = heartbeat.parse_heartbeat(upstream, request.content)
                acknowledged = await on_heartbeat(report)
        except ValueError as error:
            logging.warning(
                'rejected a malformed heartbeat of %s: %s', upstream, error
            )
            return model.HttpResponse(status=400)
        return model.HttpResponse(
            status=200 if acknowledged else 503,
            headers=[(b'Content-Type', b'application/json')],
            content=b'{}',
        )

    return handle
