"""Steps that test the rank of returned requests at several nodes."""

import concurrent.futures
import json
import re
import time

from behave import given
from behave import then
from behave import when

from features.support import http as plain_http
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire

CLIENT_WAIT_MS = 4000

# Its last 8 digits, which set the fraction, are the highest number.
TRACE_ID = 'f' * 32

LENGTH_PREFIX_BYTES = 4


@given(
    'a node "{first}" of "catalogue" and a node "{second}" of "orders" with'
    ' {slots:d} slot, which remember refusals'
)
def start_nodes(context, first, second, slots):
    """Start two nodes that remember refusals."""
    settings = {
        'remembered_refusals': 100,
        'log': {'refusals_per_s': 1000, 'answers_per_s': 1000},
    }
    context.fleet.start(first, 'catalogue', **settings)
    item = context.fleet.start(second, 'orders', **settings)
    item.backend.kill()
    context.fleet.restart_backend(item, '--slots', str(slots))


def send_all(context, node, method, target, names):
    """Send a request for each id at once; returns status and headers."""

    def send(name):
        started = time.monotonic()
        status, headers, _ = context.fleet.send(
            node,
            target,
            method=method,
            request_id=name,
            wait_ms=CLIENT_WAIT_MS,
        )
        return status, headers, time.monotonic() - started

    with concurrent.futures.ThreadPoolExecutor(len(names)) as pool:
        return dict(zip(names, pool.map(send, names), strict=True))


@when(
    '{count:d} clients of "{node}" send {method:w} "{target}" and remember'
    ' the answers'
)
def send_at_once(context, count, node, method, target):
    """Send the same request for several clients."""
    # Requests that waited for the start of the service may have returned.
    context.ranked_before = count_ranked(context, node)
    context.request = node, method, target
    context.answers = send_all(
        context, *context.request, ['c%d' % number for number in range(count)]
    )


@then('some of them are refused with a wait of at most a third of their time')
def check_refusals(context):
    """Check the waits that refused clients are told."""
    context.waits = [
        float(headers['retry-after'])
        for status, headers, _ in context.answers.values()
        if status == 503
    ]
    assert context.waits, context.answers
    assert max(context.waits) <= CLIENT_WAIT_MS / 1000 / 3, context.waits


@when('the refused clients return when they were told')
def return_all(context):
    """Send the refused requests again, with new ids."""
    time.sleep(max(context.waits))
    context.returned = ['r%d' % number for number in range(len(context.waits))]
    context.answers = send_all(context, *context.request, context.returned)


def count_ranked(context, node):
    """Return the number of requests that a node has ranked as returned."""
    item = context.fleet.sidecars[node]
    _, _, metrics = plain_http.request(
        'GET', 'http://%s/metrics' % item.metrics
    )
    found = re.search(
        r'oleanderknot_events_total{event="returns.ranked"} (\S+)',
        metrics.decode(),
    )
    return float(found.group(1)) if found else 0


@then('"{node}" has ranked as many requests as returned')
def check_ranked(context, node):
    """Check the counter of ranked requests."""
    ranked = count_ranked(context, node) - context.ranked_before
    assert ranked == len(context.returned), (ranked, context.returned)


@then(
    'at "{node}" the nested calls of returned requests that ran had a rank'
    ' below {rank:f}'
)
def check_nested_ranks(context, node, rank):
    """Check the ranks that the deeper node has logged."""
    served = {
        name
        for name, (status, _, _) in context.answers.items()
        if status == 200
    }
    assert served, context.answers
    lines = [
        json.loads(line)
        for line in context.fleet.sidecars[node].process.read_log().split('\n')
        if line.startswith('{')
    ]
    ranks = {
        line['request'].partition('.')[0]: line['rank']
        for line in lines
        if line.get('event') == 'request' and line['depth'] == 1
    }
    for name in served:
        assert ranks[name] is not None and ranks[name] < rank, ranks


@when('a node receives a call with the rank "{rank}"')
def receive_call(context, rank):
    """Encode a call as a sender would, and decode it as a receiver."""
    call = model.Call(
        service='orders',
        method='GET',
        path='/',
        headers=[],
        request_class=model.RequestClass.INTERNAL,
        deadline=9.0,
        trace_id=TRACE_ID,
        span_id='r1',
        rank=None if rank == 'none' else float(rank),
    )
    message = wire.open_from_call(
        call,
        body=b'',
        body_complete=True,
        now=0.0,
        unix_time_s=0.0,
        clock_s=0.0,
    )
    codec = wire.Codec()
    data = codec.encode(wire.Frame(session=1, call=1, open=message))
    frame = codec.decode(data[LENGTH_PREFIX_BYTES:])
    try:
        context.call = wire.call_from_open(
            frame.open, now=0.0, find_delay_s=lambda message: 0.0
        )
    except wire.BadFrame:
        context.call = None


@then('the call is not valid')
def check_not_valid(context):
    """Check that the message was refused."""
    assert context.call is None


@then('the call is ranked by its trace id, {rank:f}')
@then('the call is ranked by the message, {rank:f}')
def check_rank(context, rank):
    """Check the priority number of the call."""
    found = decisions.rank_call(context.call)
    assert rank <= found < rank + 0.001, found
