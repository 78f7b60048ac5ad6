"""Steps about clients that do not read or do not finish sending."""

import os
import socket
import time

from behave import given
from behave import then
from behave import when

from features.support import crowd
from features.support import wait

# Connections to upstreams and other nodes that a node may keep.
SPARE_DESCRIPTORS = 8


@given(
    'instances that hold at most {memory:d} bytes, take {connections:d} '
    'connections and want {progress:d} bytes in {period:d} s'
)
def set_limits(context, memory, connections, progress, period):
    """Set the limits of all instances that are started from now on."""
    context.fleet.extra_settings = {
        'memory': {'max_bytes': memory},
        'clients': {
            'max_connections': connections,
            'progress_bytes': progress,
            'progress_period': '%ds' % period,
        },
    }


@given(
    'the instance "{name}" with the default limits and a back end of '
    '"{service}"'
)
def start_with_defaults(context, name, service):
    """Start an instance without the limits of the scenario."""
    context.fleet.extra_settings = {}
    context.fleet.start(name, service)


def measure(process):
    """Return the peak of the resident memory and the open descriptors."""
    peak = int(process.read_status('VmHWM').split()[0]) * 1024
    descriptors = len(os.listdir('/proc/%d/fd' % process.popen.pid))
    return peak, descriptors


@when('{count:d} clients of "{name}" {do}')
def start_crowd(context, count, name, do):
    """Let a crowd of clients do the same, and note what the nodes use."""
    sidecars = context.fleet.sidecars
    context.before = {
        item.name: measure(item.process) for item in sidecars.values()
    }
    host, port = sidecars[name].requests.split(':')
    context.crowd = crowd.Crowd(address=(host, int(port)), count=count)
    context.add_cleanup(context.crowd.close)
    context.crowd.start(do)
    context.most_descriptors = {}
    deadline = time.monotonic() + crowd.ACTION_S
    while time.monotonic() < deadline:
        for item in sidecars.values():
            context.most_descriptors[item.name] = max(
                context.most_descriptors.get(item.name, 0),
                measure(item.process)[1],
            )
        time.sleep(0.1)


@then('each node has grown by at most {limit:d} bytes')
def check_memory(context, limit):
    """Check the peak of each node against that before the crowd."""
    grown = {
        item.name: measure(item.process)[0] - context.before[item.name][0]
        for item in context.fleet.sidecars.values()
    }
    assert max(grown.values()) <= limit, grown


@then('each node has opened at most {limit:d} descriptors more')
def check_descriptors(context, limit):
    """Check the most open descriptors of each node during the crowd."""
    opened = {
        name: most - context.before[name][1]
        for name, most in context.most_descriptors.items()
    }
    assert max(opened.values()) <= limit, opened


@then('"{first}" and "{second}" answer an ordinary request')
def check_ordinary(context, first, second):
    """Check that the processes run and serve one request each."""
    for name in (first, second):
        assert context.fleet.sidecars[name].process.is_running(), name
        for target in ('/page/after', '/order/after'):
            wait.wait_until(
                lambda name=name, target=target: (
                    context.fleet.send(name, target, request_id='after')[0]
                    == 200
                ),
                '%s serves %s' % (name, target),
            )


@then('the node of "{name}" has disconnected all of these clients at last')
def check_disconnected(context, name):
    """Wait until the node has few more descriptors than before.

    A client that does not read does not see the end of its connection, as it
    comes behind what the client has not read.
    """
    item = context.fleet.sidecars[name]
    before = context.before[name][1]
    wait.wait_until(
        lambda: measure(item.process)[1] <= before + SPARE_DESCRIPTORS,
        'end of the connections at %s' % name,
    )


@then('each node holds nothing for clients')
def check_released(context):
    """Wait until the gauge of the memory held shows less than a body."""
    for item in context.fleet.sidecars.values():
        wait.wait_until(
            lambda item=item: read_held(item.metrics) < 200000,
            '%s releases its memory' % item.name,
        )


def read_held(address):
    """Return the bytes that a node holds for others, from its metrics."""
    host, port = address.split(':')
    with socket.create_connection((host, int(port)), timeout=5) as client:
        client.sendall(b'GET /metrics HTTP/1.0\r\nHost: a\r\n\r\n')
        text = b''
        while part := client.recv(65536):
            text += part
    for line in text.decode().splitlines():
        if line.startswith('oleanderknot_memory_held_bytes '):
            return float(line.split()[1])
    raise OSError('no such gauge')
