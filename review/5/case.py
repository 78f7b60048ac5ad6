"""A change of the settings ends a node that has just been started."""

import asyncio
import time

from review.support import backend as backends
from review.support import client as clients
from review.support import rig as rigs

# Changes of the settings file, and time from each start of a process to the
# change and its signal.
CHANGES = 3
CHANGE_AFTER_S = 0.3

# Delay of the platform before it restarts a process that has ended.
RESTART_DELAY_S = 1.0

# Ends of one process, and machines, from which the rule is broken.
MAX_ENDS = 3
MIN_MACHINES = 2


async def play(rig: rigs.Rig) -> list[str]:
    """Play the case."""
    await rig.start_store()
    nodes, servers = [], []
    for number, service in enumerate(('catalogue', 'bookings', 'bookings'), 1):
        node = rigs.Node(
            rig=rig,
            name='%s-%d' % (service, number),
            service=service,
            backend='127.0.0.1:%d' % rigs.allocate_ports(1)[0],
        )
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
    ends = {node.name: 0 for node in nodes}

    async def supervise(node: rigs.Node, changes: int) -> None:
        """Start a node and change its settings as the platform does."""
        for number in range(CHANGES + 1):
            node.start(first_start=number == 0)
            await asyncio.sleep(CHANGE_AFTER_S)
            if number >= changes:
                return
            node.write_settings(number == 0)
            if rigs.is_trouble():
                node.signal(rigs.signal.SIGHUP)
            await asyncio.sleep(RESTART_DELAY_S)
            status = node.process.poll()
            if status is None:
                return
            ends[node.name] += 1
            rig.record.write('node-ended', node=node.name, status=status)

    # The site files have SIGHUP for up to 0.6 of the machines.
    first, *changed = nodes
    await asyncio.gather(
        supervise(first, 0), *(supervise(node, CHANGES) for node in changed)
    )
    for node in nodes:
        await rigs.wait_until(node.is_ready, 'readiness of ' + node.name)
    served = 0
    until = time.monotonic() + 20.0
    while served < 10:
        if time.monotonic() > until:
            raise rigs.CaseError('no booking was served')
        client = clients.Client(
            address=first.addresses['requests'], record=rig.record
        )
        outcome = await client.send(
            'b%d' % int(time.monotonic() * 1000), 'POST', '/book/1?work_ms=160'
        )
        client.close()
        served += outcome.status == 200
        await asyncio.sleep(0.1)
    for server in servers:
        server.crash()
    rig.record.write('result', ends=ends)
    hit = [name for name, count in ends.items() if count >= MAX_ENDS]
    if len(hit) < MIN_MACHINES:
        return []
    return [
        'Fault: the processes of %s ended by themselves %d times each'
        % (', '.join(hit), MAX_ENDS)
    ]


if __name__ == '__main__':
    rigs.run_case(__file__, play)
