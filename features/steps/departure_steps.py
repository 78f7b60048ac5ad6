"""Steps in which back ends leave while their nodes restart."""

import contextlib
import http.client
import json
import threading
import time

from behave import given
from behave import then
from behave import when

from features.support import http as http_client
from features.support import wait


@when('the back end of "{name}" deregisters')
def deregister(context, name):
    """Deregister a back end, which goes on serving."""
    assert context.fleet.query_backend(name, '/-/deregister') == 200


def leave(context, name, action):
    """Send the departure of a back end; return the status of the answer."""
    path = {
        'says "draining"': '/-/state?value=draining',
        'deregisters': '/-/deregister',
    }
    return context.fleet.query_backend(name, path[action])


@when('the back end of "{name}" {action} without an acknowledgement')
def leave_without_acknowledgement(context, name, action):
    """Announce a departure that the node cannot keep."""
    status = leave(context, name, action)
    assert status == 503, status


@then('the back end of "{name}" {action} with an acknowledgement in time')
def leave_with_acknowledgement(context, name, action):
    """Announce the departure again until it is acknowledged."""
    wait.wait_until(
        lambda: leave(context, name, action) == 200,
        'the departure is acknowledged',
    )


@when('a late deregistration of "{upstream}" reaches the node of "{name}"')
def send_late_deregistration(context, upstream, name):
    """Deliver the deregistration of an upstream that is long gone."""
    item = context.fleet.sidecars[name]
    status, _, _ = http_client.request(
        'POST',
        'http://%s/v1/instances/%s/deregister' % (item.heartbeats, upstream),
        body=b'{"born": 1000}',
    )
    assert status == 200, status


@when('a late heartbeat of the back end of "{name}" arrives')
def send_late_heartbeat(context, name):
    """Send a heartbeat from before the departure once the node listens."""

    def is_sent():
        status = context.fleet.query_backend(name, '/-/report?state=ready')
        return isinstance(status, int)

    wait.wait_until(is_sent, 'the heartbeat ingress of %s listens' % name)


@when('{duration_s:f} s pass without a heartbeat')
def wait_in_silence(context, duration_s):
    """Wait until the current start counts as silent."""
    time.sleep(duration_s)


@when(
    'heartbeats {first:d} and {second:d} of the start before that of '
    '"{name}" arrive'
)
def send_earlier_heartbeats(context, first, second, name):
    """Send late heartbeats of a start that began one minute earlier."""
    started_ms = int((time.time() - 60) * 1000)
    for sequence in (first, second):
        context.fleet.query_backend(
            name,
            '/-/report?state=ready&born=%d&sequence=%d'
            % (started_ms, sequence),
        )


@when('the back end of "{name}" is killed and started')
def restart_backend(context, name):
    """Start a back end again under its id."""
    item = context.fleet.sidecars[name]
    item.backend.kill()
    context.fleet.restart_backend(item)


@when(
    'the back end of "{name}" is killed and started with a clock '
    '{ahead_s:d} s ahead'
)
def restart_backend_ahead(context, name, ahead_s):
    """Start a back end again on an instance whose clock is wrong."""
    item = context.fleet.sidecars[name]
    item.backend.kill()
    context.fleet.restart_backend(item, '--clock-ahead-s', str(ahead_s))


@when(
    'the back end of "{name}" says that it drains until that is acknowledged'
)
def drain_until_acknowledged(context, name):
    """Report the state in each heartbeat until one is acknowledged."""
    wait.wait_until(
        lambda: (
            context.fleet.query_backend(name, '/-/state?value=draining') == 200
        ),
        'the node of %s acknowledges the departure' % name,
    )


@when(
    'the back end of "{name}" reports "{state}" as number {sequence:d} of a '
    'later start'
)
def report_later_start(context, name, state, sequence):
    """Send a heartbeat as the next start of the back end would."""
    context.later_ms = int((time.time() + 60) * 1000)
    status = context.fleet.query_backend(
        name,
        '/-/report?state=%s&born=%d&sequence=%d'
        % (state, context.later_ms, sequence),
    )
    assert status == 200, status


@then('the departure of "{name}" in the store is that of the later start')
def check_later_departure(context, name):
    """Wait until the row names the later start."""

    def find_start():
        value = context.fleet.list_row_values('departures')[name]
        return json.loads(value)['started_ms']

    wait.wait_until(
        lambda: find_start() == context.later_ms, 'departure of %s' % name
    )


@then('the store has a departure of "{name}"')
def check_departure_row(context, name):
    """Wait until the departure is in the store."""
    wait.wait_until(
        lambda: name in context.fleet.list_rows('departures'),
        'departure of %s' % name,
    )


@then('the store has no departure of "{name}"')
def check_no_departure_row(context, name):
    """Check that the store has not taken the departure."""
    assert name not in context.fleet.list_rows('departures')


@then(
    'no request of "{name}" for "{target}" is served for {duration_s:f} '
    'seconds'
)
def check_none_served(context, name, target, duration_s):
    """Send requests one after the other; none of them may be served."""
    statuses = []
    end = time.monotonic() + duration_s
    while time.monotonic() < end:
        with contextlib.suppress(OSError, http.client.HTTPException):
            statuses.append(context.fleet.send(name, target)[0])
        time.sleep(0.02)
    assert statuses and 200 not in statuses, (len(statuses), set(statuses))


@then(
    'no request of "{name}" for "{target}" is served for {duration_s:f} '
    'seconds after "{other}" logs "{event}"'
)
def check_none_served_after(context, name, target, duration_s, other, event):
    """Wait for a line of the log before the requests; see above."""
    item = context.fleet.sidecars[other]
    wait.wait_until(
        lambda: '"%s"' % event in item.process.read_log(),
        '%s logs %s' % (other, event),
    )
    check_none_served(context, name, target, duration_s)


@given('the status check of "{name}" says 503')
def make_status_ill(context, name):
    """Let a back end that takes work call itself ill."""
    context.fleet.query_backend(name, '/-/status?ill=1')


@given('the status check of "{name}" takes {delay_ms:d} ms')
def delay_status(context, name, delay_ms):
    """Let the status check of a back end wait, as for a slot."""
    context.fleet.query_backend(name, '/-/status?delay_ms=%d' % delay_ms)


@given('the back end of "{name}" is killed and started with {slots:d} slots')
def restart_backend_with_slots(context, name, slots):
    """Start a back end again that runs fewer requests at once."""
    item = context.fleet.sidecars[name]
    item.backend.kill()
    context.fleet.restart_backend(item, '--slots', str(slots))


@given('the node of "{name}" knows {slots:d} slots')
def wait_for_slots(context, name, slots):
    """Wait for the log line of the heartbeat that names the slots."""
    item = context.fleet.sidecars[name]
    wait.wait_until(
        lambda: '"slots": %d' % slots in item.process.read_log(),
        'heartbeat with %d slots' % slots,
    )


@when(
    '{count:d} clients of "{name}" send POST "{target}" with {left_s:d} s left'
)
def send_at_once(context, count, name, target, left_s):
    """Send requests at once; their statuses are collected as they end."""
    context.statuses = []
    context.ids = ['q%d' % number for number in range(count)]

    def send(request_id):
        context.statuses.append(
            context.fleet.send(
                name,
                target,
                method='POST',
                request_id=request_id,
                wait_ms=left_s * 1000,
            )[0]
        )

    context.senders = [
        threading.Thread(target=send, args=(request_id,))
        for request_id in context.ids
    ]
    for sender in context.senders:
        sender.start()


def count_runs(context, name):
    """Return how many of the requests a back end has begun to run."""
    runs = context.fleet.query_backend(name, '/-/runs')['runs']
    return sum(run['id'] in context.ids for run in runs)


@when('the back end of "{name}" runs {count:d} request')
def wait_for_runs(context, name, count):
    """Wait until requests run, and the others have reached the node."""
    wait.wait_until(
        lambda: count_runs(context, name) == count, 'requests at %s' % name
    )
    time.sleep(0.2)


@then('{count:d} of them get status {status:d} within {limit_s:f} seconds')
def check_refused_soon(context, count, status, limit_s):
    """Check how many requests have been answered so far."""
    end = time.monotonic() + limit_s
    while len(context.statuses) < count and time.monotonic() < end:
        time.sleep(0.01)
    assert context.statuses == [status] * count, context.statuses


@then('all of them are answered, {count:d} with status {status:d}')
def check_all_answered(context, count, status):
    """Wait for all answers and count those with a status."""
    for sender in context.senders:
        sender.join(20)
    assert len(context.statuses) == len(context.ids), context.statuses
    assert context.statuses.count(status) == count, context.statuses


@then('the back end of "{name}" has run {count:d} request')
def check_runs(context, name, count):
    """Check the runs, some time after the last one could have begun."""
    time.sleep(2.5)
    assert count_runs(context, name) == count, count_runs(context, name)
