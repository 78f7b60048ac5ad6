"""Steps about the choice between upstreams of which some fail."""

import collections
import heapq
import random

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import chain_level

PLACES = 30


@given(
    '{count:d} upstreams of which {bad:d} fail {share:d} in 100 calls at once'
)
def build_upstreams(context, count, bad, share):
    """Build the load of each upstream as one node knows it."""
    context.loads = {
        'up-%d' % number: decisions.InstanceLoad(limit=PLACES)
        for number in range(count)
    }
    context.bad = {'up-%d' % number for number in range(bad)}
    context.fail_share = share / 100
    context.now = 0.0
    context.rng = random.Random(4)


def choose(context):
    """Choose an upstream as a node does."""
    candidates = [
        decisions.Candidate(
            instance=name,
            local=False,
            suspect=False,
            outstanding=load.outstanding,
            in_flight=0.0,
            limit=load.limit,
            level=decisions.MAX_LEVEL,
            failing=load.failures.find(context.now),
        )
        for name, load in context.loads.items()
    ]
    return decisions.choose_balanced(
        candidates, priority=0.0, tried=(), draw=context.rng.randrange
    ).instance


@when('{count:d} calls of {length_ms:d} ms are sent in {span_s:d} seconds')
def send_calls(context, count, length_ms, span_s):
    """Send calls at an even pace; failing ones end at once."""
    ends = []
    start = context.now
    context.last = collections.Counter()
    for number in range(count):
        context.now = start + number * span_s / count
        while ends and ends[0][0] <= context.now:
            _, name = heapq.heappop(ends)
            context.loads[name].outstanding -= 1
            context.loads[name].failures.note(False, context.now)
        name = choose(context)
        if context.now >= start + span_s / 2:
            context.last[name] += 1
        load = context.loads[name]
        if name in context.bad and context.rng.random() < context.fail_share:
            load.failures.note(True, context.now)
            continue
        load.outstanding += 1
        heapq.heappush(ends, (context.now + length_ms / 1000, name))
    for _, name in ends:
        context.loads[name].outstanding -= 1
    context.now = start + span_s


@when('all upstreams are well again')
def recover(context):
    """Let no call fail from now on."""
    context.fail_share = 0.0


def find_share(context):
    """Return the calls in 100 that went to the upstreams that fail."""
    bad = sum(context.last[name] for name in context.bad)
    return 100 * bad / sum(context.last.values())


@then(
    'at most {most:d} in 100 of the calls of the last 5 seconds went to the '
    'failing ones'
)
def check_most(context, most):
    """Check the share of the failing upstreams."""
    assert find_share(context) <= most, context.last


@then(
    'at least {least:d} in 100 of the calls of the last 5 seconds went to '
    'the failing ones'
)
def check_least(context, least):
    """Check that recovered upstreams are used."""
    assert find_share(context) >= least, context.last


@then(
    'each upstream got at least {least:d} in 100 of the calls of the last 5 '
    'seconds'
)
def check_each(context, least):
    """Check that the calls are spread."""
    whole = sum(context.last.values())
    for name in context.loads:
        assert 100 * context.last[name] >= least * whole, context.last


@given('a share of failures after {count:d} failed calls')
def fail_calls(context, count):
    """Let calls fail, a tenth of a second apart."""
    context.failures = decisions.FailureShare()
    for number in range(count):
        context.failures.note(True, 100 + number / 10)
    context.now = 100 + count / 10


@when('one call succeeds')
def succeed(context):
    """Let one call succeed."""
    context.failures.note(False, context.now)


@then('the share is above {least:f}')
def check_share(context, least):
    """Check the share."""
    assert context.failures.find(context.now) > least, context.failures


@then(
    'the levels of their service at time {now:f} are {known:f} reported and '
    '{risen:f} by now'
)
def check_levels(context, now, known, risen):
    """Check what was reported and what may hold."""
    found = context.view.find_service_levels(
        's', 'r', context.service_members, now
    )
    assert [round(level, 3) for level in found] == [known, risen], found


@given(
    'an upstream whose route needs a service that reported {known:f} and may '
    'admit {risen:f} by now'
)
def build_chain(context, known, risen):
    """Build what a node knows about the services below its upstream."""
    context.chain = chain_level.ChainLevel()
    context.chain.find_service_levels = lambda service, route: (known, risen)
    context.chain.calls.count('r', [('deep', 'inner')])


@when('{count:d} requests of class {number:d} arrive')
def check_requests(context, count, number):
    """Ask whether each of the requests may start."""
    rng = random.Random(7)
    context.passed = 0
    for _ in range(count):
        call = model.Call(
            service='s',
            method='GET',
            path='/',
            headers=[],
            request_class=model.RequestClass(number),
            deadline=1.0,
            trace_id='%032x' % rng.getrandbits(128),
            span_id='r',
            route='r',
        )
        context.passed += context.chain.check(call) is None


@then('{count:d} of them is let through')
def check_passed(context, count):
    """Check the exact number."""
    assert context.passed == count, context.passed


@then('between {least:d} and {most:d} of them are let through')
def check_passed_between(context, least, most):
    """Check a range."""
    assert least <= context.passed <= most, context.passed


@given(
    'an upstream that ends {rate:d} calls a second and requests of {calls:d} '
    'calls each, {requests:d} a second'
)
def build_overload(context, rate, calls, requests):
    """Keep the figures of the overload."""
    context.rate = rate
    context.calls = calls
    context.requests = requests


@when('they come for {span_s:d} seconds')
def play_overload(context, span_s):
    """Send the calls of each request one after the other.

    A request whose call is refused sends no more calls.
    """
    rng = random.Random(11)
    queue = decisions.AdmissionQueue(capacity=20)
    left = {}
    context.served = collections.Counter()
    context.whole = set()

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
            left.pop(dropped.token, None)

    step_s = 0.01
    next_arrival = next_end = 0.0
    for number in range(int(span_s / step_s)):
        now = number * step_s
        if now >= next_arrival:
            next_arrival += 1 / context.requests
            trace_id = '%032x' % rng.getrandbits(128)
            left[trace_id] = context.calls
            send(trace_id, now)
        if now < next_end:
            continue
        next_end = now + 1 / context.rate
        entry, dropped = queue.pop(now)
        for item, _ in dropped:
            left.pop(item.token, None)
        if entry is None:
            continue
        context.served[entry.token] += 1
        left[entry.token] -= 1
        if left[entry.token]:
            send(entry.token, now)
        else:
            context.whole.add(entry.token)


@then(
    'at least {least:d} in 100 of its calls belonged to requests that ended '
    'whole'
)
def check_whole(context, least):
    """Compare useful work with all work."""
    useful = sum(context.served[trace_id] for trace_id in context.whole)
    whole = sum(context.served.values())
    assert 100 * useful >= least * whole, (useful, whole)


@when('{count:d} requests with other ids come')
def make_traces(context, count):
    """Make the trace ids of requests."""
    rng = random.Random(12)
    context.traces = ['%032x' % rng.getrandbits(128) for _ in range(count)]


@then(
    'between {least:d} and {most:d} in 100 of them belong to the reserved '
    'share'
)
def check_reserved(context, least, most):
    """Check the size of the reserved share."""
    context.reserved = [
        item for item in context.traces if decisions.is_reserved(item)
    ]
    share = 100 * len(context.reserved) / len(context.traces)
    assert least <= share <= most, share


@then('their ranks are spread evenly')
def check_ranks(context):
    """Check that the reserved share is no better or worse in rank."""
    order = model.RequestClass.ORDER
    ranks = [decisions.rank(order, item) - order for item in context.reserved]
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
    """Take all calls out of the queue."""
    found = []
    while context.queue.size:
        found.append(context.queue.pop(1.0)[0].token)
    assert found == text.split(', '), found
