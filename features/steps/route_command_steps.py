"""Steps that test the command that explains where a request would go."""

import json
import subprocess
import sys

from behave import given
from behave import then
from behave import when

from features.support import http as plain_http
from features.support import wait


@given(
    'the organisation "{name}" may send {rate:d} requests a second and'
    ' {burst:d} at once'
)
def set_limit(context, name, rate, burst):
    """Set the limit of an organisation."""
    context.fleet.organisations[name].update(ratePerS=rate, burst=burst)


def ask(context, node, path, organisation, *options):
    """Run the command and return its result."""
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'oleanderknot',
            'route',
            '--node',
            context.fleet.sidecars[node].heartbeats,
            '--host',
            'shop.example',
            '--path',
            path,
            '--organisation',
            organisation,
            *options,
        ],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def read_counters(context, node):
    """Return the event counters and decisions of a node."""
    _, _, content = plain_http.request(
        'GET', 'http://%s/metrics' % context.fleet.sidecars[node].metrics
    )
    return [
        line
        for line in content.decode().splitlines()
        if line.startswith(
            ('oleanderknot_events_total', 'oleanderknot_decisions_total')
        )
    ]


@when('an operator asks "{node}" where "{path}" of "{organisation}" would go')
def ask_once(context, node, path, organisation):
    """Ask once and keep the result."""
    context.result = ask(context, node, path, organisation)


@when(
    'an operator asks "{node}" {count:d} times where "{path}" of'
    ' "{organisation}" would go'
)
def ask_often(context, node, count, path, organisation):
    """Ask over the network many times; the command itself only once."""
    context.counters = read_counters(context, node)
    context.runs = context.fleet.list_runs()
    url = 'http://%s/-/route?host=shop.example&path=%s&organisation=%s' % (
        context.fleet.sidecars[node].heartbeats,
        path,
        organisation,
    )
    first = plain_http.get_json(url)
    for _ in range(count - 1):
        context.view = plain_http.get_json(url)
    result = ask(context, node, path, organisation, '--json')
    assert json.loads(result.stdout)['route'] == first['route'], result


@then('nothing has run for it and no token is gone')
def check_nothing_ran(context):
    """Check the runs, and that no token was requested or taken."""
    assert context.fleet.list_runs() == context.runs
    assert 'tokens left here' in context.view['quota'], context.view


@then('the counters of "{node}" are the same as before')
def check_counters(context, node):
    """Check that no counter of requests or tokens has moved."""

    def keep(lines):
        return [
            line
            for line in lines
            if any(word in line for word in ('decisions_', 'quota', 'shares'))
        ]

    assert keep(read_counters(context, node)) == keep(context.counters)


@then('the explanation has the lines')
def check_lines(context):
    """Check that each row has a line with its start and words."""
    assert context.result.returncode == 0, context.result
    lines = [line.strip() for line in context.result.stdout.splitlines()]
    for row in context.table:
        words = [word.strip() for word in row['words'].split(',')]
        assert any(
            line.startswith(row['start'])
            and all(word in line for word in words)
            for line in lines
        ), (dict(row.items()), lines)


@then('no key is in the explanation')
def check_no_key(context):
    """Check the output for the key of the organisation."""
    assert 'vine-key' not in context.result.stdout


@then(
    'an operator who asks "{node}" about "{path}" of "{organisation}" soon'
    ' hears of the rule "{rule}"'
)
def check_rule(context, node, path, organisation, rule):
    """Wait until the explanation names a rule."""
    wait.wait_until(
        lambda: (
            'refused (%s)' % rule
            in ask(context, node, path, organisation).stdout
        ),
        'rule %s' % rule,
    )


@then(
    'an operator who asks "{node}" about "{path}" of "{organisation}" soon'
    ' hears that the store does not answer'
)
def check_store(context, node, path, organisation):
    """Wait until the explanation says that the store is away."""

    def hears():
        result = ask(context, node, path, organisation)
        return (
            'store: does not answer' in result.stdout
            and '-> two' in result.stdout
        )

    wait.wait_until(hears, 'the store does not answer')


@then('the command fails with code {code:d}')
def check_code(context, code):
    """Check the exit code of the command."""
    assert context.result.returncode == code, context.result
