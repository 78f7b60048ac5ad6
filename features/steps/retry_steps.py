"""Steps for the retries of a request."""

import collections

from behave import given
from behave import then
from behave import when

from features.support import http as http_support


def set_options(context, service, **options):
    """Change the options of the upstreams of a service."""
    node = context.system.nodes[service]
    http_support.post_json(node.upstream_url('/-/options'), options)


@given('a tree of services {names} with {count:d} parallel calls each')
def start_tree(context, names, count):
    """Start one instance for each service; each calls the next several times.

    A run of the first service causes ``count`` runs of the second, the
    square of it of the third, and so on.
    """
    context.services = [name.strip(' "') for name in names.split(',')]
    context.fan_out = count
    belows = [*context.services[1:], None]
    with context.system.defer_waits():
        for name, below in zip(context.services, belows, strict=True):
            node = context.system.start_node(name)
            calls = (
                ['--calls', *[below] * count, '--parallel'] if below else []
            )
            context.system.start_upstream(node, name, *calls)
    for name in context.services:
        context.system.wait_for_members(name, 1)


@given('every upstream answers with status {status:d}')
def fail_all(context, status):
    """Make every upstream fail after its work."""
    for service in context.services:
        set_options(context, service, fail_status=status)


@given('upstream "{service}" answers with status {status:d}')
def fail_one(context, service, status):
    """Make one upstream fail after its work."""
    set_options(context, service, fail_status=status)


@given('every upstream loses its answers')
def lose_all(context):
    """Make every upstream close the connection after its work."""
    for service in context.services:
        set_options(context, service, drop_answers=True)


@given('upstream "{service}" loses its answers')
def lose_one(context, service):
    """Make one upstream close the connection after its work."""
    set_options(context, service, drop_answers=True)


@given('every upstream repeats a failed call {count:d} times')
def repeat_calls(context, count):
    """Make the HTTP client of every upstream retry."""
    for service in context.services:
        set_options(context, service, own_retries=count)


@given('upstream "{service}" does not pass the trace on')
def hide_trace(context, service):
    """Make one upstream omit the trace from its calls."""
    set_options(context, service, pass_trace=False)


@when('a caller asks node "{name}" for "{path}" {count:d} times')
def ask_many(context, name, path, count):
    """Send requests one after another, each with a trace of its own."""
    url = context.system.nodes[name].caller_url(path)
    context.traces = ['%032x' % (index + 1) for index in range(count)]
    context.statuses = []
    for trace in context.traces:
        headers = {'traceparent': '00-%s-%016x-00' % (trace, 1)}
        status, _, _ = http_support.request('GET', url, headers=headers)
        context.statuses.append(status)


def count_runs(context, service):
    """Count the runs of a service by trace."""
    runs = context.system.list_runs(service)
    return collections.Counter(run['trace'] for run in runs)


@then('no request caused more than {bound:d} retries')
def check_bound(context, bound):
    """Check each request against the bound, by runs at the upstreams.

    A run makes ``fan_out`` calls to the next service, so what a service ran
    more often than that are the retries of these calls.
    """
    fan_out = getattr(context, 'fan_out', 1)
    counts = [count_runs(context, service) for service in context.services]
    planned = sum(fan_out**depth for depth in range(len(counts)))
    for trace in context.traces:
        runs = [count[trace] for count in counts]
        assert runs[0] >= 1, (trace, runs)
        retries = runs[0] - 1
        for above, below in zip(runs[:-1], runs[1:], strict=True):
            retries += max(0, below - fan_out * above)
        assert retries <= bound, (trace, runs)
        assert sum(runs) <= planned * (1 + bound), (trace, runs)


@then('service "{first}" ran no more often than service "{second}"')
def compare_runs(context, first, second):
    """Check that no call to the first service was retried."""
    below = len(context.system.list_runs(first))
    above = len(context.system.list_runs(second))
    assert 0 < below <= above, (below, above)
