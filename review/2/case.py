"""Requests that wait in a node are sent to a back end that has left."""

import asyncio
import time

from review.support import backend as backends
from review.support import client as clients
from review.support import rig as rigs

# Factor by which the back end turns slow 5 s before it leaves, until it exits
# 8.6 s later; the site files have up to 12 (srv_slow) for up to 9 s.
SLOW_FACTOR = 8.5

# Work of a wholesale order, the slots of its back ends, and the orders that
# arrive at once.
WORK_MS = 290
SLOTS = 87
BATCH = 110

# Time after the ``drain`` bound for which the back end still serves.
SERVES_LONGER_S = 1.5


async def play(rig: rigs.Rig) -> list[str]:
    """Play the case."""
    await rig.start_store()
    addresses = ['127.0.0.1:%d' % port for port in rigs.allocate_ports(2)]
    shop = rigs.Node(
        rig=rig, name='shop-1', service='catalogue', backend=addresses[0]
    )
    orders = rigs.Node(
        rig=rig, name='orders-1', service='orders', backend=addresses[1]
    )
    for node in (shop, orders):
        node.start()
    rig.put_policy(
        {
            'order': {
                'prefix': '/order/',
                'kind': 'unsafe',
                'service': 'orders',
                'timeout': '5000ms',
            }
        }
    )
    catalogue_backend, orders_backend = (
        backends.Backend(
            upstream='i-%s' % node.name,
            service=node.service,
            address=node.backend,
            control=node.addresses['heartbeats'],
            record=rig.record,
            slots=SLOTS,
            queue=144,
        )
        for node in (shop, orders)
    )
    await catalogue_backend.start()
    await orders_backend.start()
    for node in (shop, orders):
        await rigs.wait_until(node.is_ready, 'readiness of ' + node.name)

    numbers = iter(range(10000))

    async def order() -> clients.Outcome:
        client = clients.Client(
            address=shop.addresses['requests'], record=rig.record
        )
        outcome = await client.send(
            'o%d' % next(numbers),
            'POST',
            '/order/1?work_ms=%d' % WORK_MS,
            body=b'x' * 1200,
        )
        client.close()
        return outcome

    await wait_for_service(order)
    # All machines are in touch after this.
    await asyncio.sleep(rigs.STABLE_WINDOW_S + 1.0)

    if rigs.is_trouble():
        rig.record.write('slow', factor=SLOW_FACTOR)
        orders_backend.work_factor = SLOW_FACTOR
    pending = []
    for _ in range(15):
        pending.append(asyncio.create_task(order()))
        await asyncio.sleep(0.33)
    pending += [asyncio.create_task(order()) for _ in range(BATCH)]
    await asyncio.sleep(0.15)
    if not await orders_backend.drain():
        raise rigs.CaseError('the departure was not acknowledged')
    acknowledged = orders_backend.acknowledged
    await asyncio.sleep(
        max(
            0.0,
            acknowledged + rigs.DRAIN_S + SERVES_LONGER_S - time.monotonic(),
        )
    )
    await orders_backend.deregister()
    orders_backend.crash()
    outcomes = await asyncio.gather(*pending)
    catalogue_backend.crash()

    late = {
        request_id: arrived - acknowledged
        for request_id, arrived in orders_backend.arrivals.items()
        if arrived - acknowledged > rigs.DRAIN_S
    }
    lost = [
        request_id
        for request_id in late
        if orders_backend.ended.get(request_id) == 'broken off'
    ]
    rig.record.write(
        'result',
        statuses=sorted(item.status for item in outcomes),
        late=late,
        lost=lost,
    )
    if not late:
        return []
    return [
        'DRAIN: %d requests reached %s later than %.1f s after the'
        ' acknowledgement of draining, the last %.2f s after it; the work on'
        ' %d of them ended with the back end'
        % (
            len(late),
            orders_backend.upstream,
            rigs.DRAIN_S,
            max(late.values()),
            len(lost),
        )
    ]


async def wait_for_service(order) -> None:
    """Send orders until one is served."""
    end = time.monotonic() + 20.0
    while (await order()).status != 200:
        if time.monotonic() > end:
            raise rigs.CaseError('no order was served')
        await asyncio.sleep(0.2)


if __name__ == '__main__':
    rigs.run_case(__file__, play)
