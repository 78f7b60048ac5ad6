"""Steps that test the log lines of nodes on a platform."""

import collections
import json
import time

from behave import then
from behave import when

from features.support import wait

# Interval between two requests of a burst.
REQUEST_INTERVAL_S = 0.04


def read_lines(context, name):
    """Return the complete JSON lines that a node has logged so far."""
    text = context.fleet.sidecars[name].process.read_log()
    return [json.loads(line) for line in text.splitlines(True) if '\n' in line]


def list_events(context, name, event):
    """Return the lines of one event."""
    return [
        line
        for line in read_lines(context, name)
        if line.get('event') == event
    ]


@when('the store has no faults')
def clear_store_faults(context):
    """Clear all faults of the store."""
    context.fleet.set_faults(silent=0, down=0, busy=0, delay_ms=0)


@then('the log of "{name}" has {count:d} line of "{event}" with "{field}"')
def check_event(context, name, count, event, field):
    """Wait for a line, and check that it is the only one."""
    wait.wait_until(
        lambda: list_events(context, name, event),
        '%s logs %s' % (name, event),
    )
    lines = list_events(context, name, event)
    assert len(lines) == count, lines
    assert all(field in line for line in lines), lines


@then('the log of "{name}" still has {count:d} line of "{event}"')
def check_no_more(context, name, count, event):
    """Check that no more lines have come."""
    lines = list_events(context, name, event)
    assert len(lines) == count, lines


@when(
    'a client of "{name}" sends {count:d} requests to "{prefix}" that are'
    ' refused'
)
def send_refused(context, name, count, prefix):
    """Send requests over more than two seconds.

    Earlier refusals may have exhausted the line limit of the current second.
    """
    wait.wait_until(
        lambda: list_events(context, name, 'reloaded'), 'the node reloads'
    )
    for number in range(count):
        status, _, _ = context.fleet.send(
            name,
            '%s%d' % (prefix, number),
            method='POST',
            request_id='f%d' % number,
        )
        assert status == 503, status
        time.sleep(REQUEST_INTERVAL_S)


@then(
    'the log of "{name}" has at most {most:d} lines about requests in each'
    ' second'
)
def check_rate(context, name, most):
    """Check the lines of each second of the node's own clock.

    A second of the wall clock may overlap two windows of the sampler.
    """
    lines = list_events(context, name, 'request')
    context.lines = [line for line in lines if line['request'][0] == 'f']
    seconds = collections.Counter(line['time'][:19] for line in context.lines)
    assert context.lines
    assert max(seconds.values()) <= 2 * most, seconds


@then('its lines and those left out make at least {count:d}')
def check_suppressed(context, count):
    """Check the total of logged and suppressed refusals."""
    wait.wait_until(
        lambda: count_decisions(context) >= count,
        '%d decisions are told' % count,
    )


def count_decisions(context):
    """Return the number of logged refusals plus that of suppressed ones."""
    context.fleet.send('one', '/order/more', method='POST', request_id='f')
    lines = list_events(context, 'one', 'request')
    lines = [line for line in lines if line['request'][0] == 'f']
    return len(lines) + sum(line['left_out'] for line in lines)


def find_line(context, name, request):
    """Wait for the line about a request."""

    def find():
        return [
            line
            for line in list_events(context, name, 'request')
            if line['request'] == request
        ]

    return wait.wait_until(find, '%s logs %s' % (name, request))[0]


@then('the line of "{name}" about "{request}" has these fields')
def check_fields(context, name, request):
    """Check the inputs and the outcome of a decision."""
    line = find_line(context, name, request)
    for row in context.table:
        assert str(line[row['field']]) == row['value'], line


@then('the line of "{name}" about "{request}" has "{first}" and "{second}"')
def check_present(context, name, request, first, second):
    """Check fields whose value differs each time."""
    line = find_line(context, name, request)
    assert line[first] and line[second], line
