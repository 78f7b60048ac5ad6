"""A back end that has left is in use again after a restart of its node."""

import asyncio
import time

from review.support import backend as backends
from review.support import client as clients
from review.support import rig as rigs

# Time by which the heartbeat before the departure arrives late.
LATE_S = 2.5

# Times from the acknowledged departure to the kill and the new start of the
# node, and time after the ``drain`` bound for which the back end serves.
KILL_AFTER_S = 0.3
START_AFTER_S = 0.8
SERVES_LONGER_S = 6.0

# Requests a second, and work of each.
RATE = 20
WORK_MS = 160


async def play(rig: rigs.Rig) -> list[str]:
    """Play the case."""
    await rig.start_store()
    services = ('catalogue', 'bookings', 'bookings')
    nodes, servers = [], []
    for number, service in enumerate(services, 1):
        node = rigs.Node(
            rig=rig,
            name='%s-%d' % (service, number),
            service=service,
            backend='127.0.0.1:%d' % rigs.allocate_ports(1)[0],
        )
        node.start()
        nodes.append(node)
        servers.append(
            backends.Backend(
                upstream='i-' + node.name,
                service=service,
                address=node.backend,
                control=node.addresses['heartbeats'],
                record=rig.record,
                slots=119,
                queue=144,
            )
        )
    rig.put_policy(
        {
            'booking': {
                'prefix': '/book/',
                'kind': 'unsafe',
                'service': 'bookings',
                'timeout': '1000ms',
            }
        }
    )
    for server in servers:
        await server.start()
    for node in nodes:
        await rigs.wait_until(node.is_ready, 'readiness of ' + node.name)
    first, leaver, leaver_node = nodes[0], servers[1], nodes[1]

    numbers = iter(range(10000))
    outcomes: list[clients.Outcome] = []

    async def book() -> None:
        client = clients.Client(
            address=first.addresses['requests'], record=rig.record
        )
        outcomes.append(
            await client.send(
                'b%d' % next(numbers),
                'POST',
                '/book/1?work_ms=%d' % WORK_MS,
                body=b'x' * 1200,
            )
        )
        client.close()

    async def send_steadily(pending: list[asyncio.Task]) -> None:
        while True:
            pending.append(asyncio.create_task(book()))
            await asyncio.sleep(1 / RATE)

    pending: list[asyncio.Task] = []
    sender = asyncio.create_task(send_steadily(pending))
    await rigs.wait_until(
        lambda: len(leaver.runs) > 5, 'requests at the back end that leaves'
    )
    await asyncio.sleep(rigs.STABLE_WINDOW_S + 1.0)

    # This heartbeat was sent before the departure and arrives late.
    late_heartbeat = leaver.build_heartbeat()
    rig.record.write('heartbeat-sent', sequence=leaver.sequence)
    if not await leaver.deregister():
        raise rigs.CaseError('the departure was not acknowledged')
    acknowledged = leaver.acknowledged
    restarted_at = None
    if rigs.is_trouble():
        await sleep_until(acknowledged + KILL_AFTER_S)
        leaver_node.signal(rigs.signal.SIGKILL)
        leaver_node.process.wait()
        await sleep_until(acknowledged + START_AFTER_S)
        restarted_at = time.monotonic()
        leaver_node.start(first_start=False)
    await sleep_until(acknowledged + LATE_S)
    status = await leaver.post('heartbeat', late_heartbeat)
    rig.record.write('heartbeat-arrived', status=status)
    await sleep_until(acknowledged + rigs.DRAIN_S + SERVES_LONGER_S)
    leaver.crash()
    await asyncio.sleep(0.5)
    sender.cancel()
    await asyncio.gather(*pending)
    for server in servers:
        server.crash()

    # A machine is in touch again ``stableWindow`` after its start.
    counts_from = acknowledged + rigs.DRAIN_S
    if restarted_at is not None:
        counts_from = max(counts_from, restarted_at + rigs.STABLE_WINDOW_S)
    late = {
        request_id: round(arrived - acknowledged, 3)
        for request_id, arrived in leaver.arrivals.items()
        if arrived > counts_from
    }
    lost = [
        request_id
        for request_id in late
        if leaver.ended.get(request_id) == 'broken off'
    ]
    rig.record.write(
        'result',
        statuses={
            str(status): sum(item.status == status for item in outcomes)
            for status in {item.status for item in outcomes}
        },
        late=late,
        lost=lost,
    )
    if not late:
        return []
    return [
        'DRAIN: %d requests reached %s from %.2f s to %.2f s after it had'
        ' deregistered, with all machines in touch; the work on %d of them'
        ' ended with the back end'
        % (
            len(late),
            leaver.upstream,
            min(late.values()),
            max(late.values()),
            len(lost),
        )
    ]


async def sleep_until(moment: float) -> None:
    """Sleep until a monotonic time."""
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


if __name__ == '__main__':
    rigs.run_case(__file__, play)
