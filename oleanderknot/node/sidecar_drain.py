"""Waits until a node on a platform that stops has finished its requests."""

import asyncio
import time

from oleanderknot.node import life_log
from oleanderknot.tasks import client_listener
from oleanderknot.tasks import runner

# The platform asks once a second and takes a node out after two misses, so
# clients may send new requests for this long after the node stops to be
# ready.
UNREADY_S = 2.5

# Time between two looks at the requests in flight.
LOOK_S = 0.05


async def drain(
    *,
    requests: client_listener.ClientListener,
    runs: runner.Runner,
    until: float,
) -> None:
    """Wait until clients have left and no request is in flight.

    Clients that still come after the platform has had the time to take this
    node out are not let in: their requests could not end before the process
    does.

    Args:
        requests: Requests of clients.
        runs: Calls at the own upstream.
        until: Monotonic time in seconds at which the wait ends.
    """
    # With little time, half of it is left for what is in flight.
    await asyncio.sleep(min(UNREADY_S, (until - time.monotonic()) / 2))
    requests.close_idle()
    while time.monotonic() < until:
        if not requests.active and not runs.running:
            return
        await asyncio.sleep(LOOK_S)
    life_log.log_event(
        'drain_ended',
        'requests were in flight when the drain ended',
        requests=requests.active,
        runs=runs.running,
    )
