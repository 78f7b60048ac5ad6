"""Steps that test the detection of silent connections."""

import concurrent.futures
import threading
import time

from behave import given
from behave import then
from behave import when

from features.support import http
from features.support import members
from features.support import ports


@given('the proxied nodes {names} in "{data_centre}"')
def start_proxied(context, names, data_centre):
    """Start nodes whose connections all pass a fault proxy."""
    for name in members.parse_names(names):
        context.system.start_node(name, data_centre, proxied=True)


@given('a node "{name}" whose upstream of "{service}" is behind a proxy')
def start_behind_proxy(context, name, service):
    """Start an upstream that announces the port of a fault proxy."""
    system = context.system
    node = system.start_node(name)
    node.upstream_port, port, control = ports.allocate_ports(3)
    context.upstream_fault_url = 'http://127.0.0.1:%d/%d' % (control, port)
    system.start_process(
        'proxy-upstream',
        'oleanderknot.standins.fault_proxy',
        '--control',
        str(control),
        '%d:127.0.0.1:%d' % (port, node.upstream_port),
    )
    system.wait_for(
        lambda: http.post_json(context.upstream_fault_url, {}),
        'the proxy of the upstream starts',
    )
    node.upstream = system.start_process(
        'upstream-' + name,
        'oleanderknot.standins.upstream',
        *('--service', service, '--port', str(node.upstream_port)),
        *('--announce-port', str(port), '--warm'),
        *('--node', 'http://127.0.0.1:%d' % node.egress_port),
    )
    system.wait_for_members(service, 1)


@when('all open connections between nodes freeze "{direction}"')
def freeze_all(context, direction):
    """Make open connections silent; new ones work."""
    for node in context.system.nodes.values():
        context.system.inject_faults(node, freeze=direction)


@when('all open connections freeze what "{name}" {direction}')
def freeze_for(context, name, direction):
    """Make open connections silent in a direction, whoever opened them.

    The directions of a proxy are relative to the node that connects, which is
    either of the two.
    """
    for node in context.system.nodes.values():
        to_node, from_node = 'forward', 'back'
        if node.name != name:
            to_node, from_node = from_node, to_node
        frozen = {
            'sends': from_node,
            'receives': to_node,
            'sends and receives': 'both',
        }[direction]
        context.system.inject_faults(node, freeze=frozen)


@when('all open connections to the upstream freeze "{direction}"')
def freeze_upstream(context, direction):
    """Make open connections to the upstream silent."""
    http.post_json(context.upstream_fault_url, {'freeze': direction})


@given('a call of "{name}" for "{path}" was answered')
def call_once(context, name, path):
    """Send one call, so that a connection is open."""
    check_answered(context, 1, name, path)


@then('{count:d} more calls of "{name}" for "{path}" are answered')
def check_answered(context, count, name, path):
    """Send calls in turn and check that all are answered."""
    url = context.system.nodes[name].caller_url(path)
    for number in range(count):
        status, _, body = http.request('GET', url)
        assert status == 200, (number, status, body)


def start_slow(context, method, name, path, ms):
    """Send a slow request from another thread, and wait until it runs."""
    url = '%s?delay_ms=%d' % (context.system.nodes[name].caller_url(path), ms)
    context.slow_results = []

    def send():
        started = time.monotonic()
        status, headers, _ = http.request(method, url)
        verdict = headers.get('oleanderknot-verdict', '')
        context.slow_results.append(
            (status, verdict, time.monotonic() - started)
        )

    context.sender = threading.Thread(target=send, daemon=True)
    context.sender.start()
    context.system.wait_for(
        lambda: count_slow_runs(context) == 1, 'the slow request runs'
    )


def count_slow_runs(context):
    """Count the runs of the slow request at all upstreams."""
    return sum(
        'delay_ms=' in run['path']
        for node in context.system.nodes.values()
        if node.upstream is not None
        for run in http.get_json(node.upstream_url('/-/runs'))['runs']
    )


@when('a slow call of {ms:d} ms is in flight at "{name}" for "{path}"')
def start_slow_call(context, ms, name, path):
    """Start a call that may be repeated."""
    start_slow(context, 'GET', name, path, ms)


@when('a slow payment of {ms:d} ms is in flight at "{name}" for "{path}"')
def start_slow_payment(context, ms, name, path):
    """Start a call that must not be repeated."""
    start_slow(context, 'POST', name, path, ms)


@then('the slow call ends within {s:g} s, answered or as may have run')
def check_slow(context, s):
    """Check the end of the slow request."""
    context.sender.join(20)
    ((status, verdict, seconds),) = context.slow_results
    assert status == 200 or verdict == 'may-have-run', context.slow_results
    assert seconds < s, seconds


@then('the payment ran once in all')
def check_payment_runs(context):
    """Check that no second run was started."""
    assert count_slow_runs(context) == 1


def count_silent(node):
    """Return the silent connections that a node has ended."""
    counters = http.get_json(node.status_url())['counters']
    return counters.get('peer.silent', 0)


@then('a silent connection was counted')
def check_counted(context):
    """Check that the silence was detected before the deadline passed."""
    nodes = context.system.nodes.values()
    context.system.wait_for(
        lambda: sum(map(count_silent, nodes)), 'a silent connection is found'
    )


@then('a connection between the nodes was frozen and another one works')
def check_links(context):
    """Check that the freeze took place and that a connection followed it.

    The frozen connection may have been closed: the direction that is not
    frozen passes the end on.
    """
    nodes = context.system.nodes.values()
    links = [http.get_json(node.fault_url()) for node in nodes]
    assert any(item['were_frozen'] for item in links), links
    assert any(item['working'] for item in links), links


@then('no end of a frozen connection stays open')
def check_replaced(context):
    """Wait until all nodes have closed their silent connections.

    A node whose peers have all replaced their connections to it has no
    silent one left to find by itself.
    """
    for node in context.system.nodes.values():
        context.system.wait_for(
            lambda node=node: (
                http.get_json(node.fault_url())['still_open'] == 0
            ),
            'the silent connections of %s are closed' % node.name,
        )


@then('no node is dead at any other')
def check_none_dead(context):
    """Check that silent connections were not taken for dead nodes."""
    for node in context.system.nodes.values():
        counters = http.get_json(node.status_url())['counters']
        assert not counters.get('member.dead'), (node.name, counters)
        for item in members.list_members(node).values():
            assert item['state'] != 'dead', (node.name, item)


@when('{count:d} calls of {ms:d} ms at once open connections to the upstream')
def open_connections(context, count, ms):
    """Fill the pool of connections to the upstream."""
    url = context.system.nodes['one'].caller_url('/catalogue/page')
    url += '?delay_ms=%d' % ms
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        answers = list(
            pool.map(lambda _: http.request('GET', url), range(count))
        )
    assert {answer[0] for answer in answers} == {200}, answers


@when('a call of "{name}" with a deadline of {ms:d} ms fails as may have run')
def send_failing_call(context, name, ms):
    """Send the call that detects silent connections."""
    url = context.system.nodes[name].caller_url('/catalogue/page')
    headers = {'Oleanderknot-Deadline-Ms': str(ms)}
    status, headers, _ = http.request('GET', url, headers=headers)
    assert status == 504, status
    assert headers['oleanderknot-verdict'] == 'may-have-run', headers
