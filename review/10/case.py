"""Clients that have sent requests ahead leave, and their requests run on."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support-2'))

import kit  # noqa: E402

CLIENTS = 32
# Every fourth client leaves.
LEAVING_SHARE = 4
# Requests that a client sends before the first one is answered.
AHEAD = 10
WORK_MS = 2000
LEAVE_AFTER_S = 0.4
GRACE_S = 0.5
FEW = 10


async def play(system):
    """Play the case; return whether the rule held."""
    await system.start_store()
    for name in ('n1', 'n2', 'n3', 'n4'):
        system.add_node(name, 'catalogue')
    await system.put_config([{'prefix': '/page/', 'service': 'catalogue'}])
    await system.start_nodes()
    await asyncio.sleep(4.0)
    left = {}

    async def visit(number):
        node = system.nodes['n%d' % (number // LEAVING_SHARE % 4 + 1)]
        host, _, port = node.requests.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        ids = ['c%dx%d' % (number, item) for item in range(AHEAD)]
        for request_id in ids:
            path = '/page/%s?work_ms=%d' % (request_id, WORK_MS)
            system.record.write('sent', node=node.name, id=request_id)
            writer.write(kit.build_request(path, request_id))
        await writer.drain()
        if system.trouble and number % LEAVING_SHARE == 0:
            await asyncio.sleep(LEAVE_AFTER_S)
            writer.close()
            at = system.record.write('left', client=number)
            left.update(dict.fromkeys(ids, at))
            return
        for request_id in ids:
            status, _, _ = await kit.read_answer(reader)
            system.record.write('answered', id=request_id, status=status)
        writer.close()

    await asyncio.gather(*(visit(number) for number in range(CLIENTS)))
    await asyncio.sleep(3.0)
    runs = [run for item in system.backends.values() for run in item.runs]
    late = lasting = working = 0
    for run in runs:
        at = left.get(run['id'])
        if at is None:
            continue
        if run['at'] > at + GRACE_S:
            late += 1
        elif run['at'] + WORK_MS / 1000 > at + GRACE_S:
            lasting += 1
            end = run.get('ended_at', run.get('dropped_at', 1e9))
            working += end > at + GRACE_S
    print(
        'runs %d; begun over %.1f s after the client had left: %d; at work'
        ' then: %d of %d' % (len(runs), GRACE_S, late, working, lasting)
    )
    system.record.write('result', late=late, working=working, lasting=lasting)
    return late <= FEW and working <= lasting / 4


if __name__ == '__main__':
    kit.main(FOLDER, play)
