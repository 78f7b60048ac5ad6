"""Steps that test how nodes follow what upstreams say about themselves."""

import collections
import http.client
import itertools
import json
import pathlib
import threading
import time

from behave import given
from behave import then
from behave import when

from features.support import rate_history
from features.support import wait
from oleanderknot import decisions
from oleanderknot import platform


@given('an upstream that names {rate:g} requests a second after 5 s')
def name_rate(context, rate):
    """Keep the rate."""
    context.rate = rate


@when(
    'seed {seed:d} plays {span_s:d} s of twice to four times that rate from'
    ' {callers:d} callers, for calls of {min_service_s:g} s or more, with'
    ' restarts and cuts'
)
def play_history(context, seed, span_s, callers, min_service_s):
    """Play one history."""
    context.history = rate_history.RateHistory(
        context.rate, callers, seed, min_service_s
    )
    context.history.play(span_s)


@then(
    'no 4 s from 3 s after the naming hold more than 1.5 times the rate and 5'
    ' requests'
)
def check_bound(context):
    """Compare each window that ends with a request with the bound."""
    bound = 1.5 * 4 * context.rate + 5
    for end in context.history.counted:
        if end < rate_history.NAMED_AT_S + rate_history.STABLE_S:
            continue
        number = sum(end - 4 < at <= end for at in context.history.counted)
        assert number <= bound, (number, bound, end)


@then('at least {share:g} of the rate was used while nothing was restarted')
def check_use(context, share):
    """Check the longest time between restarts of the node."""
    times = [
        rate_history.NAMED_AT_S + rate_history.STABLE_S,
        *context.history.restarts,
        40.0,
    ]
    start, end = max(
        itertools.pairwise(times), key=lambda pair: pair[1] - pair[0]
    )
    used = sum(start < at <= end for at in context.history.arrivals)
    assert used >= share * context.rate * (end - start) - 1, used


@when('an answer names the limit "{value}"')
def parse_limit(context, value):
    """Parse the headers of an answer."""
    context.metadata = platform.message_headers.parse_response_headers(
        [(b'Server-Limit', value.encode())]
    )


@when('an answer names the limit ""')
def parse_empty_limit(context):
    """Parse the headers of an answer with an empty value."""
    parse_limit(context, '')


@then('its rate is {rate}')
def check_parsed_rate(context, rate):
    """Check the parsed rate."""
    assert str(context.metadata.rate) == rate, context.metadata.rate


@given('a rate limit of {rate:g} named at {now:g} s')
def build_limit(context, rate, now):
    """Build a limit that the upstream has named, and take what it allows."""
    context.limit = decisions.RateLimit()
    context.limit.note_answer(rate, now)
    context.now = now
    while not context.limit.find_wait_s(now):
        context.limit.take(now)


@when('an answer names no limit at {now:g} s')
def note_unlimited(context, now):
    """Note an answer without a limit."""
    context.now = now
    context.limit.note_answer(None, now)


@then('a request may start again within {wait_s:g} s')
def check_wait(context, wait_s):
    """Check the wait for the next request."""
    assert context.limit.find_wait_s(context.now) <= wait_s


@then('the limit is {rate}')
def check_limit(context, rate):
    """Check the limit in force."""
    assert str(context.limit.rate) == rate, context.limit.rate


@given('the recording instance "{name}" with a back end of "{service}"')
def start_recording_instance(context, name, service):
    """Start a node and a back end that records the requests it gets."""
    context.record = pathlib.Path(context.system.folder) / 'record.jsonl'
    context.fleet.start(name, service, record=str(context.record))


@when('the back end of "{name}" names "{header}" as "{value}"')
def set_notice(context, name, header, value):
    """Let a back end add a header to all its answers."""
    context.fleet.query_backend(name, '/-/notice?%s=%s' % (header, value))


@when(
    '{rate:d} requests a second for "{target}" are sent to "{first}" and'
    ' "{second}" for {span_s:d} s'
)
def send_at_rate(context, rate, target, first, second, span_s):
    """Send requests at a constant rate and keep their statuses."""
    context.statuses = getattr(context, 'statuses', [])
    threads = []

    def send(name, request_id):
        try:
            status, _, _ = context.fleet.send(
                name, target, method='POST', request_id=request_id
            )
        except (OSError, http.client.HTTPException):
            status = 0
        context.statuses.append((name, status))

    begin = time.monotonic()
    for number in range(rate * span_s):
        time.sleep(max(0.0, begin + number / rate - time.monotonic()))
        name = (first, second)[number % 2]
        request_id = '%s-%d-%d' % (name, len(context.statuses), number)
        thread = threading.Thread(target=send, args=(name, request_id))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()


def list_arrivals(context, caller):
    """Return the times at which requests of a caller reached the back end."""
    lines = map(json.loads, context.record.read_text().splitlines())
    return [
        line['at']
        for line in lines
        if line['event'] == 'arrival' and line['id'].startswith(caller + '-')
    ]


@then(
    'the back end of "{name}" got at most {most:d} requests from "{caller}" in'
    ' any {span_s:g} s'
)
def check_arrivals(context, name, most, caller, span_s):
    """Count arrivals, from half a second after the first one."""
    arrivals = list_arrivals(context, caller)
    counted = [
        at for at in arrivals if at > arrivals[0] + rate_history.TOLD_AFTER_S
    ]
    for end in counted:
        number = sum(end - span_s < at <= end for at in counted)
        assert number <= most, (number, most)


@then('requests that were not served were refused with 503')
def check_refused(context):
    """Check the statuses; a node that starts refuses connections."""
    statuses = collections.Counter(context.statuses)
    failed = {
        (name, status)
        for name, status in statuses
        if status not in (200, 503) and (name, status) != ('two', 0)
    }
    assert not failed, statuses
    assert statuses['one', 200] and statuses['one', 503], statuses


@when('the back end of "{name}" names no header')
def clear_notice(context, name):
    """Let a back end answer without an additional header."""
    context.fleet.query_backend(name, '/-/notice')


@when('"{name}" logs {count:d} lines with "{text}"')
def wait_for_lines(context, name, count, text):
    """Wait until the processes of a node have logged a text."""
    wait.wait_until(
        lambda: len(list_lines(context, name, text)) >= count,
        '%s logs %s' % (name, text),
    )


def list_lines(context, name, text):
    """Return the lines with a text, of all processes of a node."""
    return [
        line
        for path in pathlib.Path(context.system.folder).glob(
            'sidecar-%s-*.log' % name
        )
        for line in path.read_text().splitlines()
        if text in line
    ]


@then('the back end of "{name}" got {count:d} request from "{caller}"')
def check_arrival_count(context, name, count, caller):
    """Count the requests of a caller that reached the back end."""
    arrivals = list_arrivals(context, caller)
    assert len(arrivals) == count, arrivals


@given(
    'an upstream with heartbeat {sequence:d} whose answer says that it leaves'
)
def build_departure(context, sequence):
    """Note a heartbeat and an answer with the notice."""
    context.departure = decisions.DepartureNotice()
    context.departure.note_heartbeat(False, sequence)
    context.departure.note_leaving()


@when('its heartbeats say {states}')
def note_heartbeats(context, states):
    """Note heartbeats in order."""
    for state in states.split():
        context.departure.note_heartbeat(
            state == 'draining', context.departure.sequence + 1
        )


@when('a caller says that it leaves')
def adopt_departure(context):
    """Note what a caller was told earlier."""
    context.departure.adopt()


@then('the upstream is {state:w}')
def check_departure(context, state):
    """Check whether the notice is in force."""
    assert context.departure.leaving is (state == 'leaving')
