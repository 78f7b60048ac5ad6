"""Memory use of a node by connections, members and policies."""

import asyncio
import gc
import tracemalloc

from bench import figure
from features.support import fake_peer
from features.support import memory
from features.support import system as systems
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import peer_pool

CONNECTIONS = (0, 50, 100, 200)
MEMBERS = 1200
SERVICES = 220
ROUTES = 5


async def open_connections(host: str, port: int, count: int) -> list:
    """Open connections to a node, each with its own peer identity."""
    connections = []
    for index in range(count):
        pool = peer_pool.PeerPool(
            identity=model.NodeIdentity(
                instance='peer-%d' % index, incarnation=1, data_centre='dc1'
            ),
            handlers=fake_peer.build_handlers(),
        )
        connections.append(await pool.dial(host, port, ('', 0)))
    return connections


def measure_connections() -> list[figure.Figure]:
    """Measure the memory of a node process by number of connections."""
    system = systems.System()
    points = []
    try:
        node = system.start_node('node')
        pid = node.process.popen.pid

        async def sample(count: int) -> int:
            connections = await open_connections(
                node.host, node.peer_port, count
            )
            await asyncio.sleep(0.5)
            size = memory.read_resident_bytes(pid)
            for connection in connections:
                connection.close('the measurement ends')
            return size

        for count in CONNECTIONS:
            points.append((count, asyncio.run(sample(count))))
    finally:
        system.stop()
    first, last = points[0], points[-1]
    slope = (last[1] - first[1]) / (last[0] - first[0])
    return [
        figure.Figure(
            name='footprint.rest',
            value=round(first[1] / 2**20, 1),
            unit='MB',
            note='a node without an upstream and peers',
        ),
        figure.Figure(
            name='footprint.connection',
            value=round(slope / 1024, 1),
            unit='KB a connection',
            note='plain TCP, %d connections' % last[0],
        ),
    ]


def measure_allocated_bytes(build) -> int:
    """Return the memory in bytes of the object that a function builds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def build_members() -> decisions.MemberTable:
    """Build a member table of the size that the system is designed for."""
    table = decisions.MemberTable()
    table.merge(
        model.Member(
            instance='service-%d-%d' % (index % SERVICES, index),
            incarnation=(1 << 60) + index,
            version=2,
            state=model.MemberState.TAKING,
            data_centre='centre-%d' % (index % 11),
            host='10.0.%d.%d' % (index // 250, index % 250),
            peer_port=7000,
            caller_port=8000,
            operator_port=9000,
            service='service-%d' % (index % SERVICES),
            slots=75,
        )
        for index in range(MEMBERS)
    )
    return table


def build_policy() -> decisions.PolicyTable:
    """Build the policies of all services at the designed size."""
    table = decisions.PolicyTable()
    table.merge(
        model.ScopeState(
            scope='service/service-%d' % index,
            number=index + 1,
            policy=model.ServicePolicy(
                service='service-%d' % index,
                routes=tuple(
                    model.RoutePolicy(
                        method='GET',
                        prefix='/route-%d-%d' % (index, route),
                        request_class=model.RequestClass.BROWSING,
                        idempotent=True,
                        deadline_ms=1000,
                        retries=2,
                    )
                    for route in range(ROUTES)
                ),
            ),
        )
        for index in range(SERVICES)
    )
    return table


def measure() -> list[figure.Figure]:
    """Measure the memory per connection, member and service policy."""
    figures = measure_connections()
    for name, build, count in (
        ('member', build_members, MEMBERS),
        ('service_policy', build_policy, SERVICES),
    ):
        figures.append(
            figure.Figure(
                name='footprint.' + name,
                value=round(measure_allocated_bytes(build) / count),
                unit='bytes each',
                note='%d of them' % count,
            )
        )
    return figures
