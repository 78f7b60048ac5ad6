"""Trial: the route of a nested call moves, and its old service ends.

Not a case: no rule of the pages names refusals. It exits with 1 if orders are
refused for good afterwards, and with 0 if they are served.
"""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

ORDERS = 20


class Caller(kit.Backend):
    """A back end of orders that makes one call for each run."""

    nodes: dict

    async def work(self, work_s, reader):
        """Make the call through the own node, and work."""
        if self.service == 'orders':
            node = self.nodes[self.name]
            request_id = self.runs[-1]['id'] + '.1'
            path = '/stock/x'
            data = kit.build_request(path, request_id)
            await kit.exchange(node.requests, data)
        return await super().work(work_s, reader)


async def play(system):
    """Play the trial; return whether orders are served at the end."""
    kit.Backend = Caller
    Caller.nodes = system.nodes
    await system.start_store()
    for name, service in (
        ('o1', 'orders'),
        ('o2', 'orders'),
        ('s1', 'stock'),
        ('t1', 'stock2'),
    ):
        system.add_node(name, service)
    routes = [
        {'prefix': '/o/', 'service': 'orders', 'kind': 'unsafe'},
        {'prefix': '/stock/', 'service': 'stock'},
    ]
    await system.put_config(routes)
    await system.start_nodes()
    await asyncio.sleep(4.0)

    async def order(name, count):
        statuses = collections.Counter()
        for number in range(count):
            node = system.nodes['o%d' % (number % 2 + 1)]
            status, _ = await system.ask(
                node, '/o/x', '%sx%d' % (name, number), method='POST'
            )
            statuses[status] += 1
        print(name, dict(statuses))
        return statuses[200]

    await order('before', 3 * ORDERS)
    routes[1]['service'] = 'stock2'
    await system.put_config(routes)
    await asyncio.sleep(2.5)
    await order('moved', ORDERS)
    await system.backends['s1'].drain()
    await asyncio.sleep(2.5)
    await order('after', ORDERS)
    await asyncio.sleep(20.0)
    return await order('later', ORDERS) > 0


if __name__ == '__main__':
    kit.main(FOLDER, play)
