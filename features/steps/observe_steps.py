"""Steps for logs and metrics."""

import concurrent.futures
import json

from behave import given
from behave import then
from behave import when

from features.support import http as http_support
from features.support import statsd


def read_lines(context, name):
    """Return the log lines of a node as JSON values."""
    text = context.system.nodes[name].process.read_log()
    return [json.loads(line) for line in text.splitlines()]


@given(
    'a node "{name}" that logs {count:d} refusals a second and sends metrics'
)
def start_observed_node(context, name, count):
    """Start a node with a statsd server."""
    context.statsd = statsd.StatsdServer()
    context.system.exit_stack.callback(context.statsd.socket.close)
    context.system.start_node(
        name,
        log={'refusals_per_s': count},
        statsd={'host': '127.0.0.1', 'port': context.statsd.port},
    )


@when(
    '{count:d} callers ask node "{name}" for the unknown service "{service}"'
)
def ask_unknown(context, count, name, service):
    """Send many requests that are refused."""
    url = context.system.nodes[name].caller_url('/%s/x' % service)
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        context.answers = list(
            pool.map(
                lambda index: http_support.request('GET', url), range(count)
            )
        )


@then('each of the {count:d} callers is told {verdict} by rule "{rule}"')
def check_told(context, count, verdict, rule):
    """Check the headers of all refusals."""
    told = [
        (headers['oleanderknot-verdict'], headers['oleanderknot-rule'])
        for _, headers, _ in context.answers
    ]
    assert told == [(verdict, rule)] * count, told[:5]


@then(
    'every log line of node "{name}" is a JSON object of instance "{instance}"'
)
def check_json(context, name, instance):
    """Check that each line is JSON with the common fields."""
    lines = read_lines(context, name)
    assert lines
    for line in lines:
        assert line['instance'] == instance, line
        assert {'time', 'level', 'message'} <= set(line), line


@then(
    'the log of node "{name}" tells class, ticket, verdict and trace'
    ' of refusals'
)
def check_call_fields(context, name):
    """Check the fields of the lines that concern a call."""
    lines = [line for line in read_lines(context, name) if 'verdict' in line]
    assert lines
    for line in lines:
        assert line['class'] == 'browsing', line
        assert line['ticket'] == 0, line
        assert line['verdict'] == 'not-run', line
        assert len(line['trace']) == 32, line


@then(
    'the lines of node "{name}" about refusals and those left out make'
    ' {count:d}'
)
def check_sampling(context, name, count):
    """Check that sampling dropped lines and counted them."""
    lines = [line for line in read_lines(context, name) if 'verdict' in line]
    status = http_support.get_json(context.system.nodes[name].status_url())
    left_out = status['counters'].get('log.left_out', 0)
    assert left_out > 0
    assert len(lines) + left_out == count, (len(lines), left_out)


@then('statsd counted {count:d} of "{name}"')
def check_statsd(context, count, name):
    """Wait until the datagrams carry a count."""
    context.system.wait_for(
        lambda: context.statsd.read()[name] >= count, 'statsd counts'
    )
    assert context.statsd.counts[name] == count, context.statsd.counts
