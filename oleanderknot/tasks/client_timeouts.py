"""Timeouts of the connections of clients."""

import typing

from oleanderknot import model
from oleanderknot.tasks import connection_reset

if typing.TYPE_CHECKING:
    from oleanderknot.tasks import client_connection


def check(
    connection: 'client_connection.ClientConnection',
    now: float,
    limits: model.ClientLimits,
    bounds: model.ClientBounds,
) -> None:
    """Enforce the timeouts and the bound on clients without progress.

    Args:
        connection: The connection.
        now: Loop time in seconds.
        limits: Limits of the policy in force.
        bounds: Bounds from the settings.
    """
    parser = connection.parser
    buffered = connection.transport.get_write_buffer_size()
    connection.memory.observe(
        now,
        buffered=buffered,
        sending=parser.started and not connection.paused,
        min_bytes=bounds.progress_bytes,
    )
    connection.update_memory()
    if connection.memory.is_stalled(now, bounds.progress_period_s):
        connection.listener.count('client.no_progress')
        if buffered:
            connection_reset.reset(connection.transport)
        else:
            connection.refuse(408, 'the client made no progress')
        return
    if connection.pipeline.busy or connection.closing:
        return
    elapsed = now - connection.timeout_started_at
    if not parser.started:
        if elapsed >= limits.idle_timeout_s:
            connection.close_transport()
    elif not parser.head_complete and elapsed >= limits.header_timeout_s:
        connection.refuse(408, 'the request head was not received in time')
