"""Drains the requests in flight of a stopping sidecar node."""

import asyncio
import time

from oleanderknot.node import lifecycle_log
from oleanderknot.tasks import client_listener
from oleanderknot.tasks import runner

# The platform probes readiness once a second and removes a node after two
# failed probes, so clients may send new requests for this long after the node
# becomes unready.
REMOVAL_DELAY_S = 2.5

# Interval between two checks for requests in flight.
POLL_INTERVAL_S = 0.05


async def drain(
    *,
    requests: client_listener.ClientListener,
    runs: runner.Runner,
    until: float,
) -> None:
    """Wait until the node is out of rotation and no request is in flight.

    The listener and idle client connections are closed once the platform has
    had time to remove the node: requests that arrive later could not finish
    before the process exits.

    Args:
        requests: Listener for client requests.
        runs: Runner of calls at the local upstream.
        until: Deadline of the drain as monotonic time in seconds.
    """
    # If little time is left, half of it is kept for requests in flight.
    await asyncio.sleep(min(REMOVAL_DELAY_S, (until - time.monotonic()) / 2))
    requests.close_idle()
    while time.monotonic() < until:
        if not requests.active and not runs.running:
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    lifecycle_log.log_event(
        'drain_ended',
        'drain timed out with requests in flight',
        requests=requests.active,
        runs=runs.running,
    )
