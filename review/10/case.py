"""All nodes are killed while the store does not hold a departure yet."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support-2'))

import kit  # noqa: E402

DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# The store is silent from this time before the departure on.
SILENT_BEFORE_S = 0.5
KILL_AFTER_S = 0.2
DOWN_S = 0.5
# Time from the start of the nodes until the store answers again.
STORE_BACK_AFTER_S = 1.0
# Lateness of the heartbeat that was sent before the departure.
LATE_S = 4.0
SERVES_S = 10.0
LEAVING = 'n1'


async def play(system):
    """Play the case; return whether the rule held."""
    await system.start_store()
    for name in ('n1', 'n2', 'n3', 'n4'):
        system.add_node(name, 'catalogue')
    await system.put_config([{'prefix': '/page/', 'service': 'catalogue'}])
    await system.start_nodes()
    await asyncio.sleep(4.0)
    nodes = list(system.nodes.values())
    backend = system.backends[LEAVING]
    backend.beats.cancel()
    held = backend.build_beat()
    system.record.write('held_up', sequence=held['sequence'])
    if system.trouble:
        await system.set_store_faults(silent=1)
        await asyncio.sleep(SILENT_BEFORE_S)
    if not await backend.deregister():
        raise kit.CannotRunError('the deregistration was not acknowledged')
    acked_at = system.record.now()
    late_at = time.monotonic() + LATE_S
    stop_at = time.monotonic() + SERVES_S
    in_touch_at = acked_at
    if system.trouble:
        await asyncio.sleep(KILL_AFTER_S)
        for node in nodes:
            system.send_signal(node, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for node in nodes:
            await system.start_node(node)
        await asyncio.sleep(STORE_BACK_AFTER_S)
        await system.set_store_faults(silent=0)
        in_touch_at = system.record.now() + STABLE_WINDOW_S
    sent = {}
    tasks = []

    async def load(node):
        number = 0
        while time.monotonic() < stop_at:
            number += 1
            request_id = '%sx%d' % (node.name, number)
            sent[request_id] = system.record.now()
            path = '/page/%d?work_ms=50' % number
            tasks.append(
                asyncio.create_task(system.ask(node, path, request_id))
            )
            await asyncio.sleep(0.05)

    async def deliver():
        await asyncio.sleep(max(0.0, late_at - time.monotonic()))
        await backend.send_beat(held)

    await asyncio.gather(deliver(), *(load(node) for node in nodes))
    statuses = [status for status, _ in await asyncio.gather(*tasks)]
    await backend.stop()
    from_s = max(acked_at + DRAIN_S, in_touch_at)
    late = [run for run in backend.runs if sent[run['id']] > from_s]
    print('answers:', {code: statuses.count(code) for code in set(statuses)})
    print(
        'requests sent by machines in touch that reached the back end over'
        ' %.0f s after its leave was acknowledged: %d of %d, the first after'
        ' %.1f s'
        % (
            DRAIN_S,
            len(late),
            len(statuses),
            min((run['at'] for run in late), default=acked_at) - acked_at,
        )
    )
    system.record.write('result', late=len(late), acked_at=round(acked_at, 3))
    return not late


if __name__ == '__main__':
    kit.main(FOLDER, play)
