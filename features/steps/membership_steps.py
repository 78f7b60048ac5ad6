"""Steps that test membership with node processes."""

import signal
import time

from behave import given
from behave import then
from behave import when

from features.support import http
from features.support import members
from features.support import ports


@given('the first node "{name}" in "{data_centre}"')
def start_first(context, name, data_centre):
    """Start a node that knows no other one."""
    context.system.start_node(name, data_centre, seeds=[])


@given('the nodes {places} with "{seed}" as seed')
def start_seeded(context, places, seed):
    """Start nodes that know one other node."""
    first = context.system.nodes[seed]
    for name, data_centre in members.parse_locations(places):
        context.system.start_node(
            name,
            data_centre,
            seeds=['%s:%d' % (first.host, first.peer_port)],
        )


@given('the nodes {places} without seeds')
def start_unseeded(context, places):
    """Start nodes that know no other node."""
    for name, data_centre in members.parse_locations(places):
        context.system.start_node(name, data_centre, seeds=[])


@given('the nodes {names} in "{data_centre}"')
def start_nodes(context, names, data_centre):
    """Start nodes of one data centre."""
    for name in members.parse_names(names):
        context.system.start_node(name, data_centre)


@given('upstreams of "{service}" beside {names}')
def start_upstreams(context, service, names):
    """Start upstreams and wait until all nodes know them."""
    for name in members.parse_names(names):
        context.system.start_upstream(context.system.nodes[name], service)
    count = len(members.parse_names(names))
    context.system.wait_for_members(service, count)


@when('an upstream of "{service}" starts beside "{name}"')
def start_upstream(context, service, name):
    """Start one more upstream."""
    context.system.start_upstream(context.system.nodes[name], service)


@given('the platform is known but down')
def reserve_platform_port(context):
    """Choose the platform's port without starting it."""
    system = context.system
    (system.platform_port,) = ports.allocate_ports(1)
    url = system.platform_url('')
    system.extra_settings['platform'] = {'table_url': url, 'object_url': url}


@when('the platform starts')
def start_platform(context):
    """Start the platform on the chosen port."""
    system = context.system
    system.platform = system.start_process(
        'platform',
        'oleanderknot.standins.platform_server',
        '--port',
        str(system.platform_port),
    )


@then('every node knows {count:d} nodes as live')
def check_live(context, count):
    """Wait until all nodes know each other."""
    for node in context.system.nodes.values():
        context.system.wait_for(
            lambda node=node: len(members.list_live_instances(node)) == count,
            '%s knows %d nodes' % (node.name, count),
        )


@then('the row of "{data_centre}" names {names}')
def check_peer_row(context, data_centre, names):
    """Wait until the table has the addresses of some nodes."""
    wanted = {
        '%s:%d' % (node.host, node.peer_port)
        for node in map(context.system.nodes.get, members.parse_names(names))
    }
    url = context.system.platform_url('/read')

    def is_written():
        body = ('{"keys": ["peers/%s"]}' % data_centre).encode()
        rows = http.request('POST', url, body=body)[2].decode()
        return all(address in rows for address in wanted)

    context.system.wait_for(is_written, 'the row of %s' % data_centre)


@when('node "{name}" is killed')
def kill_node(context, name):
    """Kill a node together with its upstream."""
    node = context.system.nodes[name]
    context.killed = members.list_members(node)[name]
    node.process.kill()
    if node.upstream is not None:
        node.upstream.kill()


@when('node "{name}" is frozen')
def freeze_node(context, name):
    """Suspend the process of a node."""
    context.system.nodes[name].process.send_signal(signal.SIGSTOP)


@when('node "{name}" resumes')
def resume_node(context, name):
    """Resume the process of a suspended node."""
    context.system.nodes[name].process.send_signal(signal.SIGCONT)


@when('node "{name}" starts again')
def start_again(context, name):
    """Start a killed node with the same settings."""
    context.system.restart_node(context.system.nodes[name])


@when('{count:d} calls for "{path}" are sent to "{name}" in turn')
def send_calls(context, count, path, name):
    """Send calls one after another and keep their times."""
    url = context.system.nodes[name].caller_url(path)
    context.calls = []
    for _ in range(count):
        started = time.monotonic()
        status = http.request('GET', url)[0]
        context.calls.append((status, time.monotonic() - started))


@then('all calls were answered and the slowest took less than {limit:g} s')
def check_calls(context, limit):
    """Check that no call waited for a failed node."""
    statuses = [status for status, _ in context.calls]
    assert set(statuses) == {200}, statuses
    slowest = max(seconds for _, seconds in context.calls)
    assert slowest < limit, slowest


@then('"{name}" becomes "{state}" at {names}')
def check_member_state(context, name, state, names):
    """Wait until nodes see a member in the given state."""
    for at in members.parse_names(names):
        node = context.system.nodes[at]
        context.system.wait_for(
            lambda node=node: (
                members.list_members(node)[name]['state'] == state
            ),
            '%s is %s at %s' % (name, state, at),
        )


@then('"{name}" has a higher incarnation at {names}')
def check_incarnation(context, name, names):
    """Check that the record has the new incarnation."""
    for at in members.parse_names(names):
        record = members.list_members(context.system.nodes[at])[name]
        assert record['incarnation'] > context.killed['incarnation']


@then('"{name}" serves calls of "{front}" for "{path}" again')
def check_serves(context, name, front, path):
    """Wait until calls through a node reach an upstream."""
    system = context.system
    upstream = system.nodes[name].upstream_url('/-/runs')
    url = system.nodes[front].caller_url(path)
    before = len(http.get_json(upstream)['runs'])

    def is_served():
        assert http.request('GET', url)[0] == 200
        return len(http.get_json(upstream)['runs']) > before

    system.wait_for(is_served, '%s serves calls again' % name)
