"""Steps for orders under faults."""

import dataclasses
import signal

from behave import given
from behave import then
from behave import when

from features.support import http as http_support
from features.support import orders as order_support

SERVICE = 'orders'


def start_order_node(context, name, **settings):
    """Start an instance of the orders service."""
    node = context.system.start_node(name, proxied=True, **settings)
    # On a cold start, slow start would shed some of a burst of orders.
    context.system.start_upstream(node, SERVICE, '--slots', '400', '--warm')
    return node


@given('order nodes "{names}" behind fault proxies and a front node')
def start_order_nodes(context, names):
    """Start instances and a front node that has no upstream."""
    context.front = context.system.start_node('front', proxied=True)
    names = names.split(', ')
    for name in names:
        start_order_node(context, name)
    context.system.wait_for_members(SERVICE, len(names))
    wait_for_connections(context)
    context.client = order_support.OrderClient()
    context.add_cleanup(context.client.executor.shutdown, wait=False)


def wait_for_connections(context):
    """Wait until the front node is connected to all order nodes."""
    others = len(context.system.nodes) - 1
    context.system.wait_for(
        lambda: (
            len(
                http_support.get_json(context.front.status_url())[
                    'connections'
                ]
            )
            >= others
        ),
        'the front node connects',
    )


def send_orders(context, kind, count, query, body=b'', **headers):
    """Send new orders to the front node."""
    base = context.front.caller_url('')
    orders = []
    for number in range(count):
        key = ''
        if kind == 'home':
            key = order_support.require_home_key(base, SERVICE)
        elif kind == 'own':
            key = 'my-order/%d' % number
        orders.append(
            order_support.Order(number='%s-%d' % (kind, number), key=key)
        )
    context.url = base + '/orders/place?' + query
    context.client.send(context.url, orders, body=body, headers=headers)


@when('{count:d} orders with {kind} keys are sent')
def send(context, count, kind):
    """Send orders concurrently."""
    send_orders(context, kind, count, 'x=1')


@when('{count:d} orders with {kind} keys are sent with {work:d} ms of work')
def send_slow(context, count, kind, work):
    """Send orders with the given processing time."""
    send_orders(context, kind, count, 'delay_ms=%d' % work)


@when('{count:d} orders with {kind} keys are sent for {limit:d} ms')
def send_limited(context, count, kind, limit):
    """Send orders with a deadline."""
    headers = {'Oleanderknot-Deadline-Ms': str(limit)}
    send_orders(context, kind, count, 'x=1', **headers)


@when(
    '{count:d} orders with {kind} keys are sent for {limit:d} ms with'
    ' {work:d} ms of work'
)
def send_late(context, count, kind, limit, work):
    """Send orders that take longer than their deadline."""
    headers = {'Oleanderknot-Deadline-Ms': str(limit)}
    send_orders(context, kind, count, 'delay_ms=%d' % work, **headers)


@when(
    '{count:d} orders with {kind} keys are sent for an answer of {size:d}'
    ' bytes'
)
def send_large(context, count, kind, size):
    """Send orders with a large answer."""
    send_orders(context, kind, count, 'size=%d' % size)


@when('the same orders are sent again')
def send_again(context):
    """Repeat all orders with their idempotency keys."""
    repeat(context, b'')


@when('the same orders are sent again with another body')
def send_other(context):
    """Reuse all idempotency keys with a different request."""
    repeat(context, b'other')


def repeat(context, body):
    """Resend each order with its idempotency key."""
    orders = {order.number: order for order in context.client.orders}
    repeats = [
        order_support.Order(number=order.number, key=order.key)
        for order in orders.values()
    ]
    context.client.send(context.url, repeats, body=body)


@when('all orders run')
def wait_for_runs(context):
    """Wait until the upstreams have started all orders."""
    count = len(context.client.orders)
    context.system.wait_for(
        lambda: len(order_support.count_runs(context.system)) >= count,
        'all orders run',
    )


@when('the orders have been answered')
def wait_for_answers(context):
    """Wait for all answers."""
    context.client.wait()


@when('the connections between nodes {fault}')
def inject(context, fault):
    """Inject a fault into all open connections between nodes."""
    changes = {
        'are cut': {'cut': True},
        'go silent': {'freeze': 'both'},
    }[fault]
    for node in context.system.nodes.values():
        context.system.inject_faults(node, **changes)


@when('the connections of order node "{name}" go silent')
def freeze_node(context, name):
    """Stall all open connections of one node, whichever side opened them."""
    own = context.system.nodes[name]
    for node in context.system.nodes.values():
        sources = [''] if node is own else [own.host]
        context.system.inject_faults(node, freeze='both', freeze_from=sources)


@when('the connections of order node "{name}" work again')
def wait_for_contact(context, name):
    """Wait until the node is connected again and can receive missed frames."""
    node = context.system.nodes[name]
    context.system.wait_for(
        lambda: http_support.get_json(node.status_url())['connections'],
        'node %s is connected' % name,
    )


@when('the silent connections go on')
def thaw(context):
    """Deliver the data that the stalled connections held back."""
    for node in context.system.nodes.values():
        context.system.inject_faults(node, thaw=True)


@when('every node has refused its delayed orders')
def wait_for_refusals(context):
    """Wait until the delayed frames have arrived.

    A node that has closed its stalled connection itself never receives them.
    """
    told = [
        order.key
        for order in context.client.orders
        if order.verdict == 'not-run'
    ]

    def have_arrived():
        refused = 0
        silent = False
        for node in context.system.nodes.values():
            counters = http_support.get_json(node.status_url())['counters']
            found = counters.get('orders.refused', 0)
            own = sum(key.startswith('ok1~%s~' % node.name) for key in told)
            if counters.get('peer.silent') and node is not context.front:
                silent = True
            elif found < own:
                return False
            refused += found
        return silent or refused >= len(told)

    context.system.wait_for(have_arrived, 'the delayed orders arrive')


@when('order node "{name}" is killed')
def kill(context, name):
    """Kill a node; its upstream keeps running."""
    context.system.nodes[name].process.kill()


@when('order node "{name}" is started again with its upstream')
def restart(context, name):
    """Restart a killed node; its upstream registers again."""
    node = context.system.nodes[name]
    context.system.restart_node(node)
    http_support.post_json(
        'http://127.0.0.1:%d/-/announce' % node.egress_port,
        {
            'service': SERVICE,
            'host': '127.0.0.1',
            'port': node.upstream_port,
            'slots': 400,
            'warm': True,
        },
    )


@when('order node "{name}" is stopped by a signal')
def stop(context, name):
    """Suspend a process, as when an instance is paused."""
    # Keys are chosen first, since the node must be a possible home for them.
    context.system.nodes[name].process.send_signal(signal.SIGSTOP)


@when('order node "{name}" goes on')
def resume(context, name):
    """Resume a suspended process."""
    context.system.nodes[name].process.send_signal(signal.SIGCONT)
    context.system.wait_for(
        lambda: http_support.get_json(context.system.nodes[name].status_url()),
        'node %s answers' % name,
    )


@then('all orders were answered and ran once')
def check_all(context):
    """Check that the last request of each order got that order's answer."""
    runs = order_support.count_runs(context.system)
    last = {order.number: order for order in context.client.orders}
    for number, order in last.items():
        assert order.status == 200, dataclasses.astuple(order)
        assert runs.get(number) == 1, (number, runs.get(number))


@then('no order ran twice and none ran that was told "not-run"')
def check_runs(context):
    """Check the execution guarantee for each idempotency key."""
    runs = order_support.count_runs(context.system)
    for order in context.client.orders:
        count = runs.get(order.number, 0)
        assert count <= 1, (order, count)
        if order.verdict == 'not-run':
            assert count == 0, (order, count)
        if order.status == 200:
            assert count == 1, (order, count)


@then('at least {count:d} orders were told "{verdict}"')
def check_told(context, count, verdict):
    """Check the verdicts, so that the scenario did reach the case it tests."""
    orders = context.client.orders
    told = sum(order.verdict == verdict for order in orders)
    assert told >= count, (told, summarise(orders))


@then('at least {count:d} orders were refused as "{rule}"')
def check_refused(context, count, rule):
    """Check the rule that the refusals name."""
    orders = context.client.orders
    refused = sum(order.rule == rule for order in orders)
    assert refused >= count, (refused, summarise(orders))


@then('at least {count:d} orders were answered')
def check_answered(context, count):
    """Check that at least a given number of orders was answered."""
    orders = context.client.orders
    answered = sum(order.status == 200 for order in orders)
    assert answered >= count, (answered, summarise(orders))


@then('no run was cancelled')
def check_cancelled(context):
    """Check the upstreams' count of cancelled runs."""
    for node in context.system.nodes.values():
        if node.upstream_port:
            runs = http_support.get_json(node.upstream_url('/-/runs'))
            assert runs['cancelled'] == 0, runs['cancelled']


def summarise(orders):
    """Count the orders by the verdict that their callers received."""
    counts = {}
    for order in orders:
        outcome = (order.status, order.verdict, order.rule)
        counts[outcome] = counts.get(outcome, 0) + 1
    return counts
