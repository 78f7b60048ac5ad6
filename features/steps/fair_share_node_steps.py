"""Steps that test how nodes exchange and apply the shares of organisations."""

import concurrent.futures
import time

from behave import given
from behave import then
from behave import when

from features.support import http as plain_http
from features.support import wait
from oleanderknot import model
from oleanderknot import wire


@when('a node receives a load report with the excess "{factor}" of "{name}"')
def receive_report(context, factor, name):
    """Convert a load report to a message and back."""
    report = model.LoadReport(
        service='stock',
        route='/',
        level=1.5,
        in_flight=1,
        limit=2,
        excess=None if factor == 'none' else {name: float(factor)},
    )
    answer = model.Answer(
        status=200, headers=[], content=b'', body=None, reports=(report,)
    )
    codec = wire.Codec()
    data = codec.encode(
        wire.Frame(session=1, call=1, head=wire.head_from_answer(answer))
    )
    try:
        context.report = wire.answer_from_head(
            codec.decode(data[4:]).head, None
        ).reports[0]
    except wire.BadFrame:
        context.report = None


@then('the received excess is {outcome}')
def check_report(context, outcome):
    """Check the excess in the report."""
    if context.report is None:
        found = 'refused'
    elif context.report.excess is None:
        found = 'valid without excess'
    else:
        found = 'valid with %s' % context.report.excess['oak']
    assert found == outcome, found


@given(
    'the instance "{name}" with a back end of "{service}" and {slots:d} slots'
)
def start_small_instance(context, name, service, slots):
    """Start a node whose back end has few slots."""
    item = context.fleet.start(name, service)
    item.backend.kill()
    context.fleet.restart_backend(item, '--slots', str(slots))


@when(
    '{many:d} clients with the key "{first}" and {few:d} with "{second}" send'
    ' "{target}" to "{node}" for {seconds:d} s'
)
def send_load(context, many, first, few, second, target, node, seconds):
    """Send requests without pause; counts the statuses by key."""
    end = time.monotonic() + seconds

    def run(number, key):
        statuses = []
        while time.monotonic() < end:
            status, _, _ = context.fleet.send(
                node,
                target,
                request_id='c%d-%d' % (number, len(statuses)),
                headers={'Authorization': 'Bearer ' + key},
            )
            statuses.append(status)
            time.sleep(0.02)
        return key, statuses

    keys = [first] * many + [second] * few
    context.statuses = {first: [], second: []}
    with concurrent.futures.ThreadPoolExecutor(len(keys)) as pool:
        for key, statuses in pool.map(run, range(len(keys)), keys):
            context.statuses[key] += statuses


@then('"{node}" has logged that "{name}" exceeds its share')
def check_logged(context, node, name):
    """Wait for the log line of the change."""
    log = context.fleet.sidecars[node].process.read_log
    wait.wait_until(
        lambda: any(
            'organisations_in_excess' in line and '"%s"' % name in line
            for line in log().split('\n')
        ),
        'log line about %s' % name,
    )


@then('"{node}" has worsened requests')
def check_worsened(context, node):
    """Check the counter of worsened requests."""
    item = context.fleet.sidecars[node]
    _, _, metrics = plain_http.request(
        'GET', 'http://%s/metrics' % item.metrics
    )
    assert b'oleanderknot_events_total{event="shares.worsened"}' in metrics


@then(
    'the requests of "{first}" were served at least twice as often as those of'
    ' "{second}"'
)
def check_shares(context, first, second):
    """Compare the shares of served requests."""
    shares = {
        key: statuses.count(200) / len(statuses)
        for key, statuses in context.statuses.items()
    }
    assert shares[first] >= 2 * shares[second], shares
