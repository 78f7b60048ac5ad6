"""Latency that two nodes add to a call, compared with two TCP forwarders."""

import collections.abc
import http.client
import pathlib
import time

from bench import figure
from features.support import ports
from features.support import system as systems
from features.support import wait

CALLS = 3000
WARM_UP = 300


def time_calls(host: str, port: int, path: str) -> list[float]:
    """Send sequential calls on one connection.

    Returns:
        Latency of each call in milliseconds, sorted, without the warm-up.
    """
    connection = http.client.HTTPConnection(host, port, timeout=10)
    times = []
    for _ in range(WARM_UP + CALLS):
        started = time.perf_counter()
        connection.request('GET', path)
        answer = connection.getresponse()
        content = answer.read()
        times.append((time.perf_counter() - started) * 1000)
        if answer.status != 200 or not content:
            raise RuntimeError(
                'response with status %d or an empty body' % answer.status
            )
    connection.close()
    return sorted(times[WARM_UP:])


def quantile(times: collections.abc.Sequence[float], share: float) -> float:
    """Return a quantile of sorted values."""
    return times[min(len(times) - 1, int(len(times) * share))]


def read_cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = pathlib.Path('/proc/%d/stat' % pid).read_text().rsplit(')')[1]
    ticks = [int(item) for item in fields.split()[11:13]]
    return sum(ticks) / 100


def start_forwarders(system: systems.System, target: int) -> int:
    """Start two chained forwarders and return the port of the first."""
    first, second = ports.allocate_ports(2)
    system.start_process(
        'forwarder', 'bench.forwarder', str(second), str(target)
    )
    system.start_process(
        'forwarder', 'bench.forwarder', str(first), str(second)
    )
    wait.wait_until(
        lambda: time_calls_once('127.0.0.1', first), 'the forwarders start'
    )
    return first


def time_calls_once(host: str, port: int) -> bool:
    """Send one call and return whether it succeeded."""
    connection = http.client.HTTPConnection(host, port, timeout=1)
    try:
        connection.request('GET', '/page')
        return connection.getresponse().status == 200
    except http.client.HTTPException:
        return False
    finally:
        connection.close()


def measure() -> list[figure.Figure]:
    """Measure calls sent directly and through forwarders, one or two nodes."""
    system = systems.System()
    try:
        near_node = system.start_node('beside')
        system.start_upstream(near_node, 'catalogue')
        front = system.start_node('front')
        system.wait_for_members('catalogue', 1)
        forwarder = start_forwarders(system, near_node.upstream_port)
        direct_times = time_calls(
            '127.0.0.1', near_node.upstream_port, '/page'
        )
        forwarder_times = time_calls('127.0.0.1', forwarder, '/page')
        one_node_times = time_calls(
            near_node.host, near_node.caller_port, '/catalogue/page'
        )
        pids = {
            name: node.process.popen.pid for name, node in system.nodes.items()
        }
        before = {name: read_cpu_seconds(pid) for name, pid in pids.items()}
        two_node_times = time_calls(
            front.host, front.caller_port, '/catalogue/page'
        )
        used = {
            name: read_cpu_seconds(pid) - before[name]
            for name, pid in pids.items()
        }
    finally:
        system.stop()
    figures = []
    for name, times in (
        ('direct', direct_times),
        ('forwarders', forwarder_times),
        ('own_node', one_node_times),
        ('two_nodes', two_node_times),
    ):
        for label, share in (('p50', 0.5), ('p99', 0.99)):
            figures.append(
                figure.Figure(
                    name='latency.%s_%s' % (name, label),
                    value=round(quantile(times, share), 4),
                    unit='ms',
                )
            )
    for label, share in (('p50', 0.5), ('p99', 0.99)):
        base = quantile(direct_times, share)
        for name, times in (
            ('floor_added', forwarder_times),
            ('own_added', one_node_times),
            ('added', two_node_times),
        ):
            figures.append(
                figure.Figure(
                    name='latency.%s_%s' % (name, label),
                    value=round(quantile(times, share) - base, 4),
                    unit='ms',
                    note='one caller, one call at a time',
                )
            )
    for name, seconds in used.items():
        figures.append(
            figure.Figure(
                name='latency.cpu_%s' % name,
                value=round(seconds / (CALLS + WARM_UP) * 1e6, 1),
                unit='us a call',
            )
        )
    return figures
