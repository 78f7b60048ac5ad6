"""Steps that send orders under random fault injection."""

import random
import time

from behave import when

from features.steps import order_claim_steps
from features.steps import order_fault_steps
from features.support import orders as order_support

ORDERS_PER_ROUND = 20


def close_connections(context, rng):
    """End the connections of one node."""
    node = rng.choice(list(context.system.nodes.values()))
    context.system.inject_faults(node, cut=True)


def silence_connections(context, rng):
    """Make the connections of one node silent in one or both directions."""
    node = rng.choice(list(context.system.nodes.values()))
    direction = rng.choice(('both', 'forward', 'back'))
    context.system.inject_faults(node, freeze=direction)


def resume_connections(context, rng):
    """Resume all silent connections and deliver the buffered data."""
    order_fault_steps.thaw(context)


def suspend_node(context, rng):
    """Suspend a node and resume it later."""
    name = rng.choice('ab')
    order_fault_steps.stop(context, name)
    time.sleep(rng.random() * 2)
    order_fault_steps.resume(context, name)


def restart_node(context, rng):
    """Kill a node and start its next incarnation."""
    name = rng.choice('ab')
    order_fault_steps.kill(context, name)
    order_fault_steps.restart(context, name)


def lose_writes(context, rng):
    """Lose answers of the table service."""
    order_claim_steps.lose_answers(context, rng.randrange(10))


def stop_table(context, rng):
    """Stop the table service, and start it later."""
    order_claim_steps.stop_table(context)
    time.sleep(rng.random())
    order_claim_steps.start_table(context)


FAULTS = (
    close_connections,
    silence_connections,
    resume_connections,
    suspend_node,
    restart_node,
    lose_writes,
    stop_table,
)


def build_orders(context, rng, number):
    """Build the orders of one round, with keys of all kinds."""
    base = context.front.caller_url('')
    orders = []
    for index in range(ORDERS_PER_ROUND):
        kind = rng.choice(('home', 'own', 'no'))
        key = ''
        if kind == 'home':
            key = order_support.request_home_key(
                base, order_fault_steps.SERVICE
            )
        elif kind == 'own':
            key = 'storm-%d-%d' % (number, index)
        orders.append(
            order_support.Order(
                number='%d-%d-%s' % (number, index, kind), key=key
            )
        )
    return orders


@when(
    'orders of all kinds are sent through {rounds:d} rounds of random faults'
    ' with seed {seed:d}'
)
def send_under_faults(context, rounds, seed):
    """Send orders and retries of earlier ones during injected faults."""
    rng = random.Random(seed)
    base = context.front.caller_url('')
    context.url = base + '/orders/place?delay_ms=200'
    earlier = []
    for number in range(rounds):
        orders = build_orders(context, rng, number)
        repeats = [
            order_support.Order(number=order.number, key=order.key)
            for order in earlier
            if order.key
        ]
        context.client.send(context.url, orders + repeats)
        earlier = orders
        for fault in rng.sample(FAULTS, 2):
            time.sleep(rng.random() * 0.4)
            fault(context, rng)
    order_fault_steps.thaw(context)
