"""Steps for the propagation of tickets to nodes."""

import asyncio
import signal

from behave import given
from behave import then
from behave import when

from features.support import http
from features.support import ticket_system
from features.support import tickets
from oleanderknot import model
from oleanderknot import platform


@given('{count:d} ticket nodes in each of the data centres "{centres}"')
def start_nodes(context, count, centres):
    """Start the platform and nodes, each behind a fault proxy."""
    ticket_system.start_proxied_platform(context.system)
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


@given('{count:d} tickets with {scopes:d} scopes each')
def file_many(context, count, scopes):
    """File tickets that each set other services, then all set one."""
    context.expected = {}

    async def file_all():
        table = platform.TableClient(
            url=context.system.ticket_table_url, timeout_s=5
        )
        for number in range(1, count + 1):
            draft = tickets.build_draft(
                ['common'] + ['s%d-%d' % (number, i) for i in range(1, scopes)]
            )
            plan = await platform.ticket_filing.prepare(table, draft)
            outcome = await platform.ticket_filing.file_ticket(table, plan.ok)
            assert outcome.result is model.FilingResult.FILED, outcome
            for state in draft.scopes:
                context.expected[state.scope] = number
        await table.close()

    asyncio.run(file_all())


@when('a ticket node "{name}" starts')
def start_late(context, name):
    """Start a node after the tickets."""
    context.system.start_node(name, 'dc1', proxied=True)


@then('node "{name}" holds all scopes of the tickets')
def check_all_scopes(context, name):
    """Wait until the node's policy is that of the tickets."""
    node = context.system.nodes[name]
    context.system.wait_for(
        lambda: ticket_system.read_policy(node)['scopes'] == context.expected,
        '%s holds all scopes' % name,
    )
    policy = ticket_system.read_policy(node)
    newest = max(context.expected.values())
    assert policy['complete'] == policy['highest'] == newest, policy


def file_scopes(context, **scopes):
    """File a ticket on scopes."""
    path = tickets.write_ticket(
        context.system.folder / 'ticket.yaml', **scopes
    )
    answer = tickets.file_ticket(context.system.ticket_table_url, path)
    context.filed = answer['number']
    context.scopes = list(scopes)


@when('an operator files a ticket on service "{service}" with {deadline:d} ms')
def file_service(context, service, deadline):
    """File a ticket that sets the deadline of a service."""
    state = tickets.build_service_state(deadline_ms=deadline)
    file_scopes(context, **{'service/' + service: state})


@when('an operator files a ticket that takes "{name}" out')
def file_stop(context, name):
    """File a ticket that stops new calls to an upstream."""
    file_scopes(context, **{'upstream/' + name: {'taking_work': False}})


@when('the data centre "{name}" is cut off from the platform and the others')
def cut_off(context, name):
    """Close connections and refuse new ones."""
    ticket_system.set_partition(context.system, name, refuse=True)


@when('the data centre "{name}" is joined again')
def join_again(context, name):
    """Allow new connections again."""
    ticket_system.set_partition(context.system, name, refuse=False)


@then('ticket status says in force in "{reached}" and not yet in "{missing}"')
def check_partial(context, reached, missing):
    """Wait until the ticket is in force in all reachable data centres."""

    def is_so():
        code, status = ticket_system.run_ticket_status(
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
        # The queried node may not know a new node yet.
        code, status = ticket_system.run_ticket_status(
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


@then('ticket status names "{name}" as not asked and ends with exit code 0')
def check_not_asked(context, name):
    """Check that an unreachable node is named and is no failure."""
    code, status = ticket_system.run_ticket_status(
        context.system, context.filed, through='dc1-1'
    )
    centre = status['data_centres'][context.system.nodes[name].data_centre]
    assert code == 0 and list(centre['not_asked']) == [name], (code, status)


@when('the ticket platform goes {state}')
def set_platform(context, state):
    """Make the platform refuse or accept requests."""
    url = context.system.platform_url('/-/faults')
    http.post_json(url, {'down': state == 'down'})


@when('the ticket platform answers after {delay:d} ms')
def slow_platform(context, delay):
    """Delay the platform's answers."""
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
    """Kill all nodes of a data centre at once, then start replacements."""
    old = [
        node
        for node in context.system.nodes.values()
        if node.data_centre == centre
    ]
    for node in old:
        node.process.send_signal(signal.SIGKILL)
    for node in old:
        node.process.kill()
        del context.system.nodes[node.name]
    for index, _ in enumerate(old):
        name = '%s-new-%d' % (centre, index)
        context.system.start_node(name, centre, proxied=True)
