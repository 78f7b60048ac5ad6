"""Processor time of the sidecars for a request, beside that of other code.

With ``BENCH_BASELINE`` set to a folder with an earlier version of the code,
both versions are measured alternately, and the ratio of their processor times
is printed.
"""

import asyncio
import os
import pathlib
import statistics
import time

from bench import figure
from bench import sidecar_fleet

BASELINE_VARIABLE = 'BENCH_BASELINE'

# Alternating runs of each version; the median counts.
ROUNDS = int(os.environ.get('BENCH_ROUNDS', '3'))

# The front instance receives all requests of clients and serves none of
# them, so each request passes two nodes.
# As many upstreams as the smallest service of the pipelines has, since
# each call chooses one of them.
DEEP_UPSTREAMS = 13
SERVICES = {
    'front': 'front',
    'page1': 'page',
    'page2': 'page',
    **{'deep%d' % number: 'deep' for number in range(DEEP_UPSTREAMS)},
}

# Nested calls of a request, as many as an upstream of the deployments makes.
NESTED_CALLS = 4

# Target, requests, requests per second and calls per request, by kind. The
# rates are about those of a busy instance of the deployments.
KINDS = {
    'root': ('/deep/x', 2000, 250.0, 1),
    'nested': (
        '/page/x?call=%s/deep/x&times=%d'
        % (sidecar_fleet.CLIENT_HOST_NAME, NESTED_CALLS),
        800,
        50.0,
        1 + NESTED_CALLS,
    ),
}
WARM_UP_REQUESTS = 200

# Time for which the nodes are measured without requests. What they use then is
# not part of the calls.
REST_S = 6.0

# Connections of clients, which are kept open.
CONNECTIONS = 16


async def send_requests(
    address: str, target: str, count: int, rate: float
) -> None:
    """Send requests at a rate over a few connections.

    Raises:
        RuntimeError: A response has another status than 200.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    run = time.monotonic_ns()

    async def send_share(first: int) -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        for index in range(first, count, CONNECTIONS):
            await asyncio.sleep(started_at + index / rate - loop.time())
            writer.write(
                b'GET %b HTTP/1.1\r\nHost: %b\r\nRequest-Id: %d-%d\r\n'
                b'Deadline-Milliseconds: 2000\r\n\r\n'
                % (
                    target.encode(),
                    sidecar_fleet.CLIENT_HOST_NAME.encode(),
                    run,
                    index,
                )
            )
            head = await reader.readuntil(b'\r\n\r\n')
            if not head.startswith(b'HTTP/1.1 200'):
                raise RuntimeError('response %r' % head[:40])
            _, _, length = head.lower().partition(b'content-length:')
            await reader.readexactly(int(length.split()[0]))
        writer.close()

    async with asyncio.TaskGroup() as group:
        for number in range(CONNECTIONS):
            group.create_task(send_share(number))


def measure_code(code: pathlib.Path) -> dict[str, float]:
    """Return the microseconds of all sidecars for a request, by kind.

    The value of ``rest`` is what one of them uses in a second without any.
    """
    fleet = sidecar_fleet.SidecarFleet(code=code)
    try:
        fleet.start(SERVICES)
        address = fleet.sidecars['front'].requests
        before = fleet.read_cpu_seconds()
        time.sleep(REST_S)
        rest = (fleet.read_cpu_seconds() - before) / REST_S
        result = {'rest': rest * 1e6 / len(SERVICES)}
        for kind, (target, count, rate, _) in KINDS.items():
            asyncio.run(send_requests(address, target, WARM_UP_REQUESTS, rate))
            started = time.monotonic()
            before = fleet.read_cpu_seconds()
            asyncio.run(send_requests(address, target, count, rate))
            used = fleet.read_cpu_seconds() - before
            used -= rest * (time.monotonic() - started)
            result[kind] = used / count * 1e6
        return result
    finally:
        fleet.stop()


def measure() -> list[figure.Figure]:
    """Measure the code in this folder, and the baseline if there is one."""
    versions = {'new': pathlib.Path.cwd()}
    baseline = os.environ.get(BASELINE_VARIABLE)
    if baseline:
        versions = {'old': pathlib.Path(baseline), **versions}
    runs: dict[str, list[dict[str, float]]] = {name: [] for name in versions}
    for _ in range(ROUNDS):
        for name, code in versions.items():
            runs[name].append(measure_code(code))
    figures = [
        figure.Figure(
            name='sidecar.rest_%s' % name,
            value=round(statistics.median(run['rest'] for run in items), 1),
            unit='us a second and node',
        )
        for name, items in runs.items()
    ]
    for kind, (_, _, rate, calls) in KINDS.items():
        medians = {
            name: statistics.median(run[kind] for run in items)
            for name, items in runs.items()
        }
        for name, median in medians.items():
            values = ', '.join('%.0f' % run[kind] for run in runs[name])
            figures.append(
                figure.Figure(
                    name='sidecar.%s_%s' % (kind, name),
                    value=round(median, 1),
                    unit='us a request',
                    note='%d calls a request, %d requests a second; runs %s'
                    % (calls, rate, values),
                )
            )
        if baseline:
            figures.append(
                figure.Figure(
                    name='sidecar.%s_ratio' % kind,
                    value=round(medians['new'] / medians['old'], 3),
                    unit='of the processor time of the old code',
                )
            )
    return figures
