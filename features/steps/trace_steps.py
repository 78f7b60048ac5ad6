"""Steps for traces."""

import secrets

from behave import given
from behave import then
from behave import when

from features.support import collector
from features.support import http


@given('a collector of spans')
def start_collector(context):
    """Start the simulated collector; later nodes record only as callers do."""
    context.collector = collector.TraceCollector()
    context.system.exit_stack.callback(context.collector.close)
    context.system.extra_settings['tracing'] = {
        'endpoint': context.collector.url,
        'ratio': 0,
    }
    context.traces = {}


def send(context, name, path, flags):
    """Send a request with a new traceparent; return trace and span id."""
    trace, span = secrets.token_hex(16), secrets.token_hex(8)
    status, _, _ = http.request(
        'GET',
        context.system.nodes[name].caller_url(path),
        headers={'traceparent': '00-%s-%s-%s' % (trace, span, flags)},
    )
    assert status in (200, 503), status
    return trace, span


@when('a caller asks node "{name}" for "{path}" within a recorded trace')
def ask_recorded(context, name, path):
    """Send a request whose caller records it."""
    trace, span = send(context, name, path, '01')
    context.traces[trace] = span


@when(
    '{count:d} callers ask node "{name}" for "{path}" within traces that are'
    ' not recorded'
)
def ask_unrecorded(context, count, name, path):
    """Send requests whose callers do not record them."""
    for _ in range(count):
        send(context, name, path, '00')


@then('the collector has the spans of the traces')
def check_spans(context):
    """Check name, attributes and order of the spans."""
    context.system.wait_for(
        lambda: len(context.collector.spans) >= len(context.table.rows),
        'all spans arrive',
    )
    spans = context.collector.spans
    assert len(spans) == len(context.table.rows), spans
    names = {item['id']: item['name'] for item in spans}
    for span in context.traces.values():
        names[span] = 'the caller'
    for row in context.table:
        (span,) = [item for item in spans if item['name'] == row['name']]
        assert span['trace'] in context.traces, span
        for field in ('rule', 'verdict', 'class'):
            assert span['oleanderknot.' + field] == row[field], span
        assert names[span['above']] == row['below'], (span, names)


@then('the upstream of "{service}" got the caller\'s trace id')
def check_upstream_trace(context, service):
    """Check the traceparent that the upstream saw."""
    (run,) = context.system.list_runs(service)
    assert run['trace'] in context.traces, run


@then('the collector has spans of {count:d} trace only')
def check_traces(context, count):
    """Wait for the recorded trace and check that no other one came."""
    context.system.wait_for(
        lambda: context.collector.spans, 'the recorded trace arrives'
    )
    found = {item['trace'] for item in context.collector.spans}
    assert found == set(context.traces) and len(found) == count, found
