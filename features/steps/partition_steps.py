"""Steps that test partitions between data centres."""

import time

from behave import then
from behave import when

from features.support import http


def list_partitioned(context, one, other):
    """Return the nodes of two data centres with the other's prefix."""
    networks = context.system.networks
    prefixes = {
        one: '127.0.%d.' % networks[other],
        other: '127.0.%d.' % networks[one],
    }
    return [
        (node, prefixes[node.data_centre])
        for node in context.system.nodes.values()
        if node.data_centre in prefixes
    ]


@when('"{one}" and "{other}" are cut off from each other by refused packets')
def partition_refusing(context, one, other):
    """End connections between two data centres and refuse new ones."""
    context.partitioned = list_partitioned(context, one, other)
    for node, prefix in context.partitioned:
        context.system.inject_faults(node, refuse_from=[prefix], cut=[prefix])


@when('"{one}" and "{other}" are cut off from each other by dropped packets')
def partition_dropping(context, one, other):
    """Make connections between two data centres silent, new ones as well."""
    context.partitioned = list_partitioned(context, one, other)
    for node, prefix in context.partitioned:
        context.system.inject_faults(
            node, hold_from=[prefix], freeze='both', freeze_from=[prefix]
        )


@when('the partition ends')
def end_partition(context):
    """Remove the partition for new connections."""
    for node, _ in context.partitioned:
        context.system.inject_faults(node, refuse_from=[], hold_from=[])


@then(
    '{count:d} calls of each node for "{path}" take less than {limit:g} s each'
)
def check_each(context, count, path, limit):
    """Send calls in turn through every node."""
    for node in context.system.nodes.values():
        for number in range(count):
            started = time.monotonic()
            status, _, body = http.request('GET', node.caller_url(path))
            seconds = time.monotonic() - started
            assert status == 200, (node.name, number, status, body)
            assert seconds < limit, (node.name, number, seconds)


@then('"{name}" asks others {count:d} times about a silent node')
def check_asked_others(context, name, count):
    """Wait until a node has made indirect probes."""
    node = context.system.nodes[name]
    context.system.wait_for(
        lambda: (
            http.get_json(node.status_url())['counters'].get(
                'member.asked_others', 0
            )
            >= count
        ),
        '%s asks others' % name,
    )
