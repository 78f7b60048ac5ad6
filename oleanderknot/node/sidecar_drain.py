"""Drains the requests in flight of a stopping sidecar node."""

import asyncio
import time

from oleanderknot.node import lifecycle_log
from oleanderknot.tasks import client_listener
from oleanderknot.tasks import runner
from oleanderknot.tasks import stop_schedule

# Interval between two checks for requests in flight.
POLL_INTERVAL_S = 0.05


async def drain(
    *,
    requests: client_listener.ClientListener,
    runs: runner.Runner,
    schedule: stop_schedule.StopSchedule,
) -> None:
    """Wait until the node is out of rotation and all requests are answered.

    The listener stays open, since running requests may still make calls; new
    requests of clients are refused.

    Args:
        requests: Listener for client requests.
        runs: Runner of calls at the local upstream.
        schedule: Schedule of the stop.
    """
    await asyncio.sleep(schedule.refuse_from - time.monotonic())
    while time.monotonic() < schedule.end_at:
        if not (requests.active or runs.running or requests.has_unsent()):
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    lifecycle_log.log_event(
        'drain_ended',
        'drain timed out with requests in flight',
        requests=requests.active,
        runs=runs.running,
    )
