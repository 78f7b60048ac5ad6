"""Steps that test orders with a streamed body."""

import socket

from behave import then
from behave import when

from features.steps import order_fault_steps
from features.support import http as http_support
from features.support import orders as order_support


@when(
    'a caller sends {sent:d} of {size:d} bytes of an order with a home key'
    ' and leaves'
)
def send_partial_order(context, sent, size):
    """Send the head and a part of the body, and end the connection."""
    front = context.front
    order_fault_steps.send_orders(context, 'home', 0, 'x=1')
    context.key = order_support.require_home_key(
        front.caller_url(''), 'orders'
    )
    context.size = size
    with socket.create_connection((front.host, front.caller_port)) as sock:
        head = (
            'POST /orders/place?x=1&id=cut HTTP/1.1\r\nHost: x\r\n'
            'Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n'
        )
        sock.sendall((head % (context.key, size)).encode() + bytes(sent))
        wait_for_start(context, sent)


def wait_for_start(context, sent):
    """Wait until the order's home, or its upstream, knows the order."""

    def has_arrived():
        if sent:
            return order_support.count_runs(context.system)
        return any(
            http_support.get_json(node.status_url())['orders']['running']
            for node in context.system.nodes.values()
        )

    context.system.wait_for(has_arrived, 'the order arrives')


@when('the same order is sent again whole')
def repeat_whole_order(context):
    """Repeat the order with its whole body."""
    order = order_support.Order(number='cut', key=context.key)
    context.client.send(context.url, [order], body=bytes(context.size))


@then('the order ran {count:d} times')
def check_count(context, count):
    """Check the runs of the order whose body was truncated."""
    runs = order_support.count_runs(context.system)
    assert runs.get('cut', 0) == count, runs


@when(
    '{count:d} orders with {kind} keys are sent with {size:d} bytes of'
    ' "{letter}"'
)
def send_bodies(context, count, kind, size, letter):
    """Send orders with a body."""
    order_fault_steps.send_orders(
        context, kind, count, 'x=1', body=letter.encode() * size
    )


@when('the same orders are sent again with {size:d} bytes of "{letter}"')
def repeat_bodies(context, size, letter):
    """Repeat all orders with a body."""
    order_fault_steps.repeat(context, letter.encode() * size)


@when('the upstreams lose their answers')
def lose_answers(context):
    """Let the upstreams end connections after their work."""
    for node in context.system.nodes.values():
        if node.upstream_port:
            http_support.post_json(
                node.upstream_url('/-/options'), {'drop_answers': True}
            )


@when('an order is sent by {method}')
def send_with_method(context, method):
    """Send one order by a method."""
    order = order_support.Order(number='by-' + method)
    context.client.send(context.url, [order], method=method)
