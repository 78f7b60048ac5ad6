"""Steps that test which queued calls an upstream serves first."""

import collections
import random

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model


@given(
    'an upstream that ends {rate:d} calls a second and requests of {calls:d} '
    'calls each, {requests:d} a second'
)
def build_overload(context, rate, calls, requests):
    """Store the parameters of the overload."""
    context.rate = rate
    context.calls = calls
    context.requests = requests


@when('they arrive for {span_s:d} seconds')
def simulate_overload(context, span_s):
    """Simulate an overload in which each request sends its calls in sequence.

    A request whose call is refused sends no more calls.
    """
    rng = random.Random(11)
    queue = decisions.AdmissionQueue(capacity=20)
    remaining = {}
    context.served = collections.Counter()
    context.completed = set()

    def send(trace_id, now):
        entry = decisions.QueuedCall(
            request_class=model.RequestClass.ORDER,
            depth=1,
            arrived_at=now,
            deadline=now + 2.0,
            expected_s=1 / context.rate,
            band=decisions.find_band(trace_id),
            token=trace_id,
        )
        for dropped, _ in queue.push(entry, now):
            remaining.pop(dropped.token, None)

    step_s = 0.01
    next_arrival = next_end = 0.0
    for number in range(int(span_s / step_s)):
        now = number * step_s
        if now >= next_arrival:
            next_arrival += 1 / context.requests
            trace_id = '%032x' % rng.getrandbits(128)
            remaining[trace_id] = context.calls
            send(trace_id, now)
        if now < next_end:
            continue
        next_end = now + 1 / context.rate
        entry, dropped = queue.pop(now)
        for item, _ in dropped:
            remaining.pop(item.token, None)
        if entry is None:
            continue
        context.served[entry.token] += 1
        remaining[entry.token] -= 1
        if remaining[entry.token]:
            send(entry.token, now)
        else:
            context.completed.add(entry.token)


@then(
    'at least {least:d} in 100 of its calls belonged to requests that '
    'completed'
)
def check_useful_share(context, least):
    """Check the ratio of useful work to all work."""
    useful = sum(context.served[trace_id] for trace_id in context.completed)
    total = sum(context.served.values())
    assert 100 * useful >= least * total, (useful, total)


@when('{count:d} requests with other ids arrive')
def make_traces(context, count):
    """Make the trace ids of requests."""
    rng = random.Random(12)
    context.traces = ['%032x' % rng.getrandbits(128) for _ in range(count)]


@then(
    'between {least:d} and {most:d} in 100 of them belong to the reserved '
    'share'
)
def check_reserved(context, least, most):
    """Check the proportion of requests in the reserved share."""
    context.reserved = [
        item for item in context.traces if decisions.is_reserved(item)
    ]
    share = 100 * len(context.reserved) / len(context.traces)
    assert least <= share <= most, share


@then('their ranks are spread evenly')
def check_ranks(context):
    """Check that the reserved share is evenly spread over the priorities."""
    order = model.RequestClass.ORDER
    ranks = [
        decisions.compute_priority(order, item) - order
        for item in context.reserved
    ]
    mean = sum(ranks) / len(ranks)
    assert 0.45 < mean < 0.55, mean


@given('calls that wait in one class: {text}')
def queue_calls(context, text):
    """Queue calls that are described by band and depth."""
    context.queue = decisions.AdmissionQueue(capacity=20)
    for part in text.split(', '):
        _, band, _, _, depth = part.split(' ')
        entry = decisions.QueuedCall(
            request_class=model.RequestClass.ORDER,
            depth=int(depth),
            arrived_at=1.0,
            deadline=9.0,
            expected_s=0.1,
            band=int(band),
            token='%s/%s' % (band, depth),
        )
        context.queue.push(entry, 1.0)


@then('they are served in the order {text}')
def check_queue_order(context, text):
    """Check the order in which the queue serves its calls."""
    found = []
    while context.queue.size:
        found.append(context.queue.pop(1.0)[0].token)
    assert found == text.split(', '), found
