"""Waits until a stopping node has finished its requests."""

import asyncio

from absl import logging

from oleanderknot.tasks import http_listener
from oleanderknot.tasks import order_table
from oleanderknot.tasks import runner


async def drain(
    *,
    callers: http_listener.HttpListener,
    egress: http_listener.HttpListener,
    runs: runner.Runner,
    orders: order_table.OrderTable,
    timeout_s: float,
) -> bool:
    """Wait until no request is in flight.

    The upstream of this node may make outgoing calls until its requests are
    done, so the egress port closes last.

    Args:
        callers: Requests of callers; takes no new connections from now on.
        egress: Outgoing calls of the own upstream.
        runs: Requests at the own upstream.
        orders: Keys that run, from their claim on.
        timeout_s: Seconds to wait at most.

    Returns:
        Whether all requests have ended.
    """
    callers.stop_accepting()
    try:
        async with asyncio.timeout(timeout_s):
            while callers.active or runs.running or orders.tasks:
                await callers.idle.wait()
                await runs.idle.wait()
                await orders.wait_idle()
            egress.stop_accepting()
            await egress.idle.wait()
    except TimeoutError:
        logging.error(
            'drain timed out with %d requests of callers, %d at the upstream'
            ' and %d outgoing calls in flight',
            callers.active,
            runs.running,
            egress.active,
        )
        return False
    return True
