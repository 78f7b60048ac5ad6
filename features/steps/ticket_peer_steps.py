"""Steps for single peer messages and for upstreams out of service."""

import json
import time

from behave import given
from behave import then
from behave import when

from features.support import http
from features.support import raw_peer
from features.support import tickets
from oleanderknot import model
from oleanderknot import wire


@given('each ticket node has an upstream of "{service}"')
def start_upstreams(context, service):
    """Start an upstream beside each node."""
    for node in context.system.nodes.values():
        context.system.start_upstream(node, service)
    context.system.wait_for_members(service, len(context.system.nodes))


@when('a peer sends the state of ticket {number:d} to every node again')
def send_old_state(context, number):
    """Send an old state and wait until the node has handled it."""
    state = json.dumps(tickets.build_service_state(deadline_ms=7000))
    old = wire.ScopeState(scope=context.scopes[0], number=number, state=state)
    digest = wire.PolicyDigest(count=0, highest=0, hash=0, complete=0)
    for node in context.system.nodes.values():
        peer = raw_peer.RawPeer(node=node)
        for kind in (0, 3, 4):
            sync = wire.PolicySync(kind=kind, scopes=[old], digest=digest)
            peer.send(0, policy_sync=sync)
        # Frames are handled in order, so the answer to a digest shows that
        # the copies were.
        peer.send(
            0, policy_sync=wire.PolicySync(kind=2, scopes=[], digest=digest)
        )
        answer = peer.wait_for('policy_sync', lambda item: item.kind == 3)
        numbers = [item.number for item in answer.scopes]
        assert numbers == [context.filed], answer
        peer.close()


@when('a peer sends a policy message of an unknown kind')
def send_wrong_kind(context):
    """Send a message of a kind that no node sends."""
    context.node = context.system.nodes['dc1-1']
    context.peer = raw_peer.RawPeer(node=context.node)
    context.peer.send(0, policy_sync=wire.PolicySync(kind=99, scopes=[]))


@then('its connection is closed and counted as a bad frame')
def check_closed(context):
    """Check that the node closed the connection and keeps running."""
    try:
        context.peer.wait_for('pong')
    except ConnectionError:
        pass
    counters = http.get_json(context.node.status_url())['counters']
    assert counters.get('peer.bad_frame') == 1, counters


@then('{count:d} requests from each node run beside "{name}" only')
def check_runs_at(context, count, name):
    """Send requests to all nodes and read the upstreams' records."""
    for node in context.system.nodes.values():
        for _ in range(count):
            status, _, _ = http.request('GET', node.caller_url('/orders/x'))
            assert status == 200, status
    for node in context.system.nodes.values():
        runs = http.get_json(node.upstream_url('/-/runs'))['runs']
        expected = count * len(context.system.nodes)
        assert len(runs) == (expected if node.name == name else 0), (
            node.name,
            len(runs),
        )


@then('"{name}" refuses a call of a peer as not run with rule "{rule}"')
def check_gate(context, name, rule):
    """Send a call as a node with older policy would."""
    peer = raw_peer.RawPeer(node=context.system.nodes[name])
    now = time.monotonic()
    call = model.Call(
        service='orders',
        method='GET',
        path='/x',
        headers=[],
        request_class=model.RequestClass.ORDER,
        deadline=now + 5,
        allowance=1,
        key='',
        idempotent=True,
        trace_id='ab' * 16,
        span_id='cd' * 8,
        sampled=False,
        route='/',
        ticket=0,
        has_body=False,
    )
    message = wire.open_from_call(
        call,
        body=b'',
        body_complete=True,
        now=now,
        unix_time_s=time.time(),
        clock_s=now,
    )
    peer.send(1, open=message)
    failure = peer.wait_for('failure')
    assert (failure.rule, failure.verdict) == (rule, 0), failure
    assert failure.ticket == context.filed, failure
    runs = http.get_json(context.system.nodes[name].upstream_url('/-/runs'))
    assert not runs['runs'], runs
    peer.close()


@then('a request for "{service}" is refused as not run under the ticket')
def check_refused(context, service):
    """Check the refusal of a caller when every upstream is out of service."""
    for node in context.system.nodes.values():
        status, headers, _ = http.request(
            'GET', node.caller_url('/%s/x' % service)
        )
        assert status == 503, status
        assert headers['oleanderknot-verdict'] == 'not-run', headers
        assert headers['oleanderknot-rule'] == 'not_taking_work', headers
        assert headers['oleanderknot-ticket'] == str(context.filed), headers
