"""Steps that test the limits of organisations over all nodes."""

import collections
import json
import time

from behave import given
from behave import then
from behave import when

from features.support import http as plain_http
from features.support import organisation_load
from features.support import wait
from oleanderknot import decisions

WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20

# Time after the policy is in force in which homes are established and stocks
# are filled.
SETTLE_S = 4.0


@given('the organisations with limits')
def set_limited_organisations(context):
    """Set organisations with a key and a rate limit."""
    for row in context.table:
        context.fleet.organisations[row['name']] = {
            'apiKeys': [row['key']],
            'priority': 1,
            'ratePerS': float(row['rate']),
            'burst': float(row['burst']),
        }


@given('the data centres "{names}" with these instances')
def start_instances(context, names):
    """Start nodes with the data centres in their settings."""
    for row in context.table:
        context.fleet.start(
            row['name'],
            'catalogue',
            row['data centre'],
            record=str(context.system.folder / (row['name'] + '.record')),
            data_centres=names.split(','),
        )
    context.data_centres = {
        row['name']: row['data centre'] for row in context.table
    }


@given('all instances serve "{target}" and have settled')
def put_policy_and_settle(context, target):
    """Put the policy in force and wait until homes have tokens."""
    context.fleet.put_policy()
    for name in context.fleet.sidecars:
        context.fleet.wait_for_service(name, target)
    time.sleep(SETTLE_S)
    context.loads = {}


def start_load(context, name, rate, nodes):
    """Start to send requests of an organisation."""
    context.loads[name] = organisation_load.OrganisationLoad(
        name=name,
        key=context.fleet.organisations[name]['apiKeys'][0],
        addresses=[context.fleet.sidecars[node].requests for node in nodes],
        rate=rate,
        target='/page/1',
    )


def send(context, name, rate, nodes, span_s):
    """Send requests of an organisation for some time."""
    context.started_at = time.monotonic()
    start_load(context, name, rate, nodes)
    time.sleep(span_s)
    context.loads[name].stop()
    context.ended_at = time.monotonic()


@when('"{name}" sends {rate:d} requests a second to all nodes for {span:d} s')
def send_to_all(context, name, rate, span):
    """Send requests to all nodes."""
    send(context, name, rate, list(context.fleet.sidecars), span)


@when('"{name}" sends {rate:d} requests a second to "{node}" for {span:d} s')
def send_to_one(context, name, rate, node, span):
    """Send requests to one node."""
    send(context, name, rate, [node], span)


@when(
    '"{name}" sends {rate:d} requests a second and "{other}" {other_rate:d}'
    ' for {span:d} s, and the home of "{homed}" in "{data_centre}" is killed'
    ' after {kill_s:d} s'
)
def send_and_kill_home(
    context, name, rate, other, other_rate, span, homed, data_centre, kill_s
):
    """Send requests of two organisations while a home is killed."""
    nodes = list(context.fleet.sidecars)
    context.started_at = time.monotonic()
    start_load(context, name, rate, nodes)
    start_load(context, other, other_rate, nodes)
    time.sleep(kill_s)
    home = decisions.order_homes(
        homed,
        [
            node
            for node, place in context.data_centres.items()
            if place == data_centre
        ],
        1,
    )[0]
    context.fleet.sidecars[home].process.kill()
    time.sleep(span - kill_s)
    for load in context.loads.values():
        load.stop()
    context.ended_at = time.monotonic()


@when(
    'the limit of "{name}" is lowered to a rate of {rate:d} and a burst of'
    ' {burst:d}'
)
def lower_limit(context, name, rate, burst):
    """Put a policy with a lower limit in force at all nodes."""
    context.fleet.organisations[name].update(ratePerS=rate, burst=burst)
    version = context.fleet.put_policy()
    for item in context.fleet.sidecars.values():
        wait.wait_until(
            lambda item=item: (
                'policy version %d is in force' % version
                in item.process.read_log()
            ),
            'version %d at %s' % (version, item.name),
        )


def list_run_times(context, name):
    """Return when requests of an organisation ran at any back end."""
    times = []
    for item in context.fleet.sidecars.values():
        with open(item.record) as lines:
            times += [
                line['at']
                for line in map(json.loads, lines)
                if line['event'] == 'run' and line['organisation'] == name
            ]
    return sorted(time for time in times if time >= context.started_at)


@then('in no 5 s more requests of "{name}" ran than its limit allows')
def check_bound(context, name):
    """Check each window that begins with a run."""
    limit = context.fleet.organisations[name]
    allowed = (limit['ratePerS'] * WINDOW_S + limit['burst']) * (
        1 + OVERSHOOT
    ) + SLACK
    window = collections.deque()
    most = 0
    for at in list_run_times(context, name):
        window.append(at)
        while window[0] <= at - WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    assert 0 < most <= allowed, (most, allowed)


@then('at least {share:f} of the limit of "{name}" ran')
def check_share(context, share, name):
    """Check that the limit can be used."""
    rate = context.fleet.organisations[name]['ratePerS']
    span_s = context.ended_at - context.started_at
    count = len(list_run_times(context, name))
    assert count >= share * rate * span_s, (count, rate, span_s)


@then('each refusal of "{name}" has status 429 and a time for another attempt')
def check_refusals(context, name):
    """Check what refused clients are told."""
    load = context.loads[name]
    assert set(load.statuses) == {200, 429}, load.statuses
    assert not load.without_wait


@then('fewer than 1 in 100 requests of "{name}" were refused')
def check_refused_share(context, name):
    """Check the refusals of an organisation inside its limit."""
    statuses = context.loads[name].statuses
    assert statuses[429] * 100 < statuses[200], statuses


@then('requests of "{name}" ran in each of the last {count:d} s')
def check_last_seconds(context, name, count):
    """Check that tokens are created after a failure."""
    times = list_run_times(context, name)
    for second in range(count):
        end = context.ended_at - second
        assert any(end - 1 <= at < end for at in times), second


@then('the nodes have granted no tokens')
def check_no_grants(context):
    """Check the metrics of all nodes."""
    for item in context.fleet.sidecars.values():
        _, _, metrics = plain_http.request(
            'GET', 'http://%s/metrics' % item.metrics
        )
        assert 'oleanderknot_decisions_total' in metrics.decode()
        assert 'quota.granted' not in metrics.decode()
