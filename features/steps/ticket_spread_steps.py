"""Steps about tickets that come into force on nodes."""

import json
import signal
import time

from behave import given
from behave import then
from behave import when

from features.support import http
from features.support import raw_peer
from features.support import ticket_system
from features.support import tickets
from oleanderknot import model
from oleanderknot import wire


@given('{count:d} ticket nodes in each of the data centres "{centres}"')
def start_nodes(context, count, centres):
    """Start the platform and nodes, each behind a fault proxy."""
    ticket_system.start_platform(context.system)
    context.filed = 0
    for centre in centres.split(', '):
        for number in range(1, count + 1):
            name = '%s-%d' % (centre, number)
            context.system.start_node(name, centre, proxied=True)
    names = set(context.system.nodes)
    for node in context.system.nodes.values():
        context.system.wait_for(
            lambda node=node: names <= set(list_members(node)),
            '%s knows all nodes' % node.name,
        )


def list_members(node):
    """Return the instances that a node knows."""
    members = http.get_json(node.status_url())['members']
    return [item['instance'] for item in members]


@given('each ticket node has an upstream of "{service}"')
def start_upstreams(context, service):
    """Start an upstream beside each node."""
    for node in context.system.nodes.values():
        context.system.start_upstream(node, service)
    context.system.wait_for_members(service, len(context.system.nodes))


def file_scopes(context, **scopes):
    """File a ticket on scopes."""
    path = tickets.write_ticket(
        context.system.folder / 'ticket.yaml', **scopes
    )
    answer = tickets.file_ticket(context.system.ticket_table, path)
    context.filed = answer['number']
    context.scopes = list(scopes)


@when('an operator files a ticket on service "{service}" with {deadline:d} ms')
def file_service(context, service, deadline):
    """File a ticket that sets the deadline of a service."""
    state = tickets.build_service_state(deadline_ms=deadline)
    file_scopes(context, **{'service/' + service: state})


@when('an operator files a ticket that takes "{name}" out')
def file_stop(context, name):
    """File a ticket that gives an upstream no new work."""
    file_scopes(context, **{'upstream/' + name: {'taking_work': False}})


@when('the data centre "{name}" is cut off from the platform and the others')
def cut_off(context, name):
    """Cut connections and refuse new ones."""
    ticket_system.cut(context.system, name, refuse=True)


@when('the data centre "{name}" is joined again')
def join_again(context, name):
    """Let new connections through."""
    ticket_system.cut(context.system, name, refuse=False)


@then('ticket status says in force in "{reached}" and not yet in "{missing}"')
def check_partial(context, reached, missing):
    """Wait until the ticket is in force where it can be."""

    def is_so():
        code, status = ticket_system.ask_status(
            context.system, context.filed, through='dc1-1'
        )
        centres = status.get('data_centres', {})
        assert not centres[missing]['in_force'], status
        return code == 1 and not any(
            centres[name]['not_yet'] or centres[name]['not_asked']
            for name in reached.split(', ')
        )

    context.system.wait_for(is_so, 'the ticket is in force in ' + reached)


@then('the ticket is in force on all nodes')
def check_everywhere(context):
    """Wait for each node, then ask the command line."""
    alive = [
        node
        for node in context.system.nodes.values()
        if node.process.is_running()
    ]
    for node in alive:
        context.system.wait_for(
            lambda node=node: all(
                ticket_system.read_policy(node)['scopes'].get(scope)
                == context.filed
                for scope in context.scopes
            ),
            'the ticket is in force on %s' % node.name,
        )
        policy = ticket_system.read_policy(node)
        assert policy['highest'] == context.filed, policy
    names = sorted(node.name for node in alive)

    def is_so():
        # A new node may still be unknown to the one that is asked.
        code, status = ticket_system.ask_status(
            context.system, context.filed, through=alive[0].name
        )
        centres = status['data_centres'].values()
        reached = [name for item in centres for name in item['in_force']]
        return code == 0 and status['in_force'] and sorted(reached) == names

    context.system.wait_for(is_so, 'ticket status names all nodes')


@then('requests for "{service}" carry the ticket on every node')
def check_header(context, service):
    """Check the ticket that a refusal names; there is no upstream."""
    for node in context.system.nodes.values():
        _, headers, _ = http.request('GET', node.caller_url('/%s/x' % service))
        found = headers.get('oleanderknot-ticket')
        assert found == str(context.filed), (node.name, headers)


@when('node "{name}" is killed')
def kill_node(context, name):
    """Kill a node."""
    context.system.nodes[name].process.kill()


@then('ticket status names "{name}" as not asked and ends with exit code 0')
def check_not_asked(context, name):
    """Check that a node that is out of reach is named and no failure."""
    code, status = ticket_system.ask_status(
        context.system, context.filed, through='dc1-1'
    )
    centre = status['data_centres'][context.system.nodes[name].data_centre]
    assert code == 0 and list(centre['not_asked']) == [name], (code, status)


@when('the ticket platform goes {state}')
def set_platform(context, state):
    """Let the platform refuse requests, or not."""
    url = context.system.platform_url('/-/faults')
    http.post_json(url, {'down': state == 'down'})


@when('the ticket platform answers after {delay:d} ms')
def slow_platform(context, delay):
    """Let the platform answer late."""
    url = context.system.platform_url('/-/faults')
    http.post_json(url, {'delay_ms': delay})


@when('node "{name}" is killed and started again')
def restart_node(context, name):
    """Kill a node and start it with the same settings."""
    node = context.system.nodes[name]
    node.process.kill()
    context.system.restart_node(node)


@when('all nodes of data centre "{centre}" are replaced by new ones')
def replace_nodes(context, centre):
    """Kill all nodes of a data centre at once, then start others."""
    old = [
        node
        for node in context.system.nodes.values()
        if node.data_centre == centre
    ]
    for node in old:
        node.process.send(signal.SIGKILL)
    for node in old:
        node.process.kill()
        del context.system.nodes[node.name]
    for index, _ in enumerate(old):
        name = '%s-new-%d' % (centre, index)
        context.system.start_node(name, centre, proxied=True)


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
    """Send a message that no node sends."""
    context.node = context.system.nodes['dc1-1']
    context.peer = raw_peer.RawPeer(node=context.node)
    context.peer.send(0, policy_sync=wire.PolicySync(kind=99, scopes=[]))


@then('its connection is closed and counted as a bad frame')
def check_closed(context):
    """Check that the node ended the connection and goes on."""
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
        call, body=b'', body_complete=True, now=now, epoch=time.time()
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
    """Check the refusal of a caller when every upstream is out."""
    for node in context.system.nodes.values():
        status, headers, _ = http.request(
            'GET', node.caller_url('/%s/x' % service)
        )
        assert status == 503, status
        assert headers['oleanderknot-verdict'] == 'not-run', headers
        assert headers['oleanderknot-rule'] == 'not_taking_work', headers
        assert headers['oleanderknot-ticket'] == str(context.filed), headers
