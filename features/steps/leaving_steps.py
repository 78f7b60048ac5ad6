"""Steps that test the graceful departure of upstreams."""

import collections
import signal
import time

from behave import given
from behave import then
from behave import when

from features.support import http
from features.support import load
from features.support import members


@given('the delayed nodes {names} in "{data_centre}" with {ms:d} ms each way')
def start_delayed(context, names, data_centre, ms):
    """Start nodes that others reach with an added delay."""
    for name in members.parse_names(names):
        node = context.system.start_node(name, data_centre, proxied=True)
        context.system.inject_faults(node, delay_ms=ms)


@when('load of {count:d} callers on "{path}" goes on through {names}')
def start_load(context, count, path, names):
    """Send calls until a later step stops them.

    The first calls fill the retry budget, which is a share of successes.
    """
    nodes = context.system.nodes
    context.load = load.BackgroundLoad(
        [nodes[name].caller_url(path) for name in members.parse_names(names)],
        threads=count,
    )
    context.add_cleanup(context.load.stop)
    wait_for_calls(context, 200)


def wait_for_calls(context, count):
    """Wait until more calls of the load have ended."""
    target = len(context.load.answers) + count
    context.system.wait_for(
        lambda: len(context.load.answers) >= target, 'the load goes on'
    )


def list_upstream_runs(context, name):
    """Return the runs that one upstream recorded."""
    url = context.system.nodes[name].upstream_url('/-/runs')
    return http.get_json(url)['runs']


@when('the upstream beside "{name}" asks to leave')
def ask_to_leave(context, name):
    """Post the departure request of the upstream to its node."""
    node = context.system.nodes[name]
    url = 'http://127.0.0.1:%d/-/leave' % node.egress_port
    assert http.request('POST', url)[0] == 204
    context.departure_at = time.monotonic()


@when('the upstream beside "{name}" announces itself again')
def announce_again(context, name):
    """Post the announcement of the upstream to its node."""
    node = context.system.nodes[name]
    announcement = {
        'service': 'catalogue',
        'host': '127.0.0.1',
        'port': node.upstream_port,
        'slots': 100,
    }
    url = 'http://127.0.0.1:%d/-/announce' % node.egress_port
    assert http.post_json(url, announcement) == 204


@when('node "{name}" gets SIGTERM')
def send_sigterm(context, name):
    """Ask a node to stop."""
    context.system.nodes[name].process.send_signal(signal.SIGTERM)
    context.departure_at = time.monotonic()


@then('node "{name}" exits with status {status:d}')
def check_exit(context, name, status):
    """Wait for the end of a node."""
    process = context.system.nodes[name].process
    assert process.wait() == status, process.read_log()[-2000:]


@then(
    'the upstream beside "{name}" starts no work later than {seconds:g} s'
    ' after that'
)
def check_no_work(context, name, seconds):
    """Check that no run starts after the given time under load."""
    time.sleep(max(0.0, context.departure_at + seconds - time.monotonic()))
    before = len(list_upstream_runs(context, name))
    wait_for_calls(context, 500)
    after = len(list_upstream_runs(context, name))
    assert before > 0 and after == before, (before, after)


@then('every call of the load was answered and ran once')
def check_load(context):
    """Check that no call failed during the departure or ran twice."""
    context.load.stop()
    assert not context.load.errors, context.load.errors[:3]
    failed = [item for item in context.load.answers if item[0] != 200]
    assert not failed, (len(failed), failed[:5])
    runs = collections.Counter(
        item['path']
        for node in context.system.nodes.values()
        if node.upstream is not None
        for item in list_upstream_runs(context, node.name)
        if item['method'] == 'POST'
    )
    assert set(runs.values()) == {1}, runs.most_common(3)


@then('a call was refused as leaving and ran elsewhere')
def check_refused(context):
    """Check that the case under test did occur."""
    status = http.get_json(context.system.nodes['one'].status_url())
    assert status['refused_leaving'] > 0, status


@then('a call of "{name}" for "{path}" is refused as not run')
def check_not_run(context, name, path):
    """Check the refusal of a call without any upstream."""
    url = context.system.nodes[name].caller_url(path)
    status, headers, _ = http.request('GET', url)
    assert status == 503, status
    assert headers['oleanderknot-verdict'] == 'not-run', headers
