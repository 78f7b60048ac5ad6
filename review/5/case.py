"""After a step of the clock a node ignores the departures it acknowledges."""

import asyncio
import time

from review.support import backend as backends
from review.support import client as clients
from review.support import rig as rigs

# The time of day of one machine is ahead by this much for this long.
STEP_S = 2.4
STEP_FOR_S = 6.0

# Starts of the back end, in seconds from the step; each crash is this much
# earlier.
SECOND_START_S = 5.2
THIRD_START_S = 6.5
DOWN_S = 0.3

# Time after the ``drain`` bound for which the back end serves.
SERVES_LONGER_S = 4.0

# Services of the machines; the clock of the second one steps.
SERVICES = ('catalogue', 'bookings', 'bookings', 'catalogue')

# Requests a second, and work of each.
RATE = 20
WORK_MS = 160


async def play(rig: rigs.Rig) -> list[str]:
    """Play the case."""
    await rig.start_store()
    nodes = []
    for number, service in enumerate(SERVICES, 1):
        node = rigs.Node(
            rig=rig,
            name='%s-%d' % (service, number),
            service=service,
            backend='127.0.0.1:%d' % rigs.allocate_ports(1)[0],
        )
        node.start()
        nodes.append(node)

    def build_backend(node: rigs.Node) -> backends.Backend:
        return backends.Backend(
            upstream='i-' + node.name,
            service=node.service,
            address=node.backend,
            control=node.addresses['heartbeats'],
            record=rig.record,
            slots=119,
            queue=144,
        )

    servers = [build_backend(node) for node in nodes]
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
    first, machine = nodes[0], nodes[1]

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

    pending: list[asyncio.Task] = []

    async def send_steadily() -> None:
        while True:
            pending.append(asyncio.create_task(book()))
            await asyncio.sleep(1 / RATE)

    sender = asyncio.create_task(send_steadily())
    await rigs.wait_until(
        lambda: len(servers[1].runs) > 5, 'requests at the back end'
    )
    await asyncio.sleep(rigs.STABLE_WINDOW_S + 1.0)

    stepped_at = time.monotonic()
    step_s = STEP_S if rigs.is_trouble() else 0.0
    rig.record.write('clock-step', machine=machine.name, ahead_s=step_s)
    for start_s in (SECOND_START_S, THIRD_START_S):
        await sleep_until(stepped_at + start_s - DOWN_S)
        servers[1].crash()
        await sleep_until(stepped_at + start_s)
        # The same id as before, as the page allows.
        servers[1] = build_backend(machine)
        if start_s < STEP_FOR_S:
            servers[1].born_ms += int(step_s * 1000)
        rig.record.write(
            'backend-start',
            backend=servers[1].upstream,
            born=servers[1].born_ms,
        )
        await servers[1].start()
    server = servers[1]
    await rigs.wait_until(
        lambda: len(server.runs) > 5, 'requests at the third start'
    )
    await sleep_until(stepped_at + THIRD_START_S + rigs.STABLE_WINDOW_S + 1.0)

    if not await server.drain():
        raise rigs.CaseError('the departure was not acknowledged')
    acknowledged = server.acknowledged
    await sleep_until(acknowledged + rigs.DRAIN_S + SERVES_LONGER_S)
    await server.deregister()
    server.crash()
    await asyncio.sleep(0.5)
    sender.cancel()
    await asyncio.gather(*pending)
    for item in servers:
        item.crash()

    late = {
        request_id: round(arrived - acknowledged, 3)
        for request_id, arrived in server.arrivals.items()
        if arrived - acknowledged > rigs.DRAIN_S
    }
    lost = [
        request_id
        for request_id in late
        if server.ended.get(request_id) == 'broken off'
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
        'DRAIN: %d requests reached %s from %.2f s to %.2f s after the'
        ' acknowledgement of draining; the work on %d of them ended with the'
        ' back end'
        % (
            len(late),
            server.upstream,
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
