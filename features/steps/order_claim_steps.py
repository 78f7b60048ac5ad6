"""Steps that test orders with keys made by the caller."""

from behave import given
from behave import when

from features.steps import order_fault_steps
from features.support import http as http_support
from features.support import orders as order_support


@given('the stand-in platform for orders')
def start_platform(context):
    """Start the table service that holds the claims."""
    context.system.start_platform()


@given('an order node "{name}" in data centre "{data_centre}"')
def start_node_in(context, name, data_centre):
    """Start an order node in the given data centre."""
    order_fault_steps.start_order_node(context, name, data_centre=data_centre)
    context.system.wait_for_members(order_fault_steps.SERVICE, 3)


@when(
    '{count:d} orders with own keys are sent to nodes "{first}" and'
    ' "{second}" at once'
)
def send_twice(context, count, first, second):
    """Send each order to two nodes at the same time."""
    for name in (first, second):
        orders = [
            order_support.Order(number='n%d' % number, key='own-%d' % number)
            for number in range(count)
        ]
        node = context.system.nodes[name]
        context.client.send(
            node.caller_url('/orders/place?delay_ms=100'), orders
        )


@when('the same orders are sent again to node "{name}"')
def send_again_to(context, name):
    """Send all orders again through another node."""
    url = context.url
    front = context.front.caller_url('')
    context.url = url.replace(front, context.system.nodes[name].caller_url(''))
    order_fault_steps.send_again(context)
    context.url = url


@when('the table service is out')
def stop_table(context):
    """Let the platform refuse all requests."""
    set_faults(context, down=True)


@when('the table service is back')
def start_table(context):
    """End the outage."""
    set_faults(context, down=False)


@when('the table service answers after {delay:d} ms')
def delay_table(context, delay):
    """Let the platform answer later than nodes wait."""
    set_faults(context, delay_ms=delay)


@when('{count:d} answers of the table service to writes are lost')
def lose_answers(context, count):
    """Lose answers after the writes took effect."""
    set_faults(context, drop_commits=count)


def set_faults(context, **faults):
    """Set faults of the platform."""
    url = context.system.platform_url('/-/faults')
    assert http_support.post_json(url, faults) < 300


@when('the upstreams take no new work')
def refuse_work(context):
    """Make the upstreams refuse all work."""
    set_options(context, True)


@when('the upstreams take work again')
def accept_work(context):
    """Make the upstreams accept work again."""
    set_options(context, False)


def set_options(context, refuses):
    """Change the options of all upstreams."""
    for node in context.system.nodes.values():
        if node.upstream_port:
            http_support.post_json(
                node.upstream_url('/-/options'), {'refuses': refuses}
            )
