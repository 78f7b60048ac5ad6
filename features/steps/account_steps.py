"""Steps for the account of admission decisions."""

import json
import signal

from behave import given
from behave import when

from features.support import http
from features.support import shop

TICKET = """
author: Mia
reason: Browsing gives way to orders
scopes:
  service/catalogue:
    routes:
      - {method: GET, prefix: /, class: download, idempotent: true,
         deadline_ms: 5000, retries: 2}
"""


@given('a system that reports every {period:g} s')
def start_system(context, period, held=256):
    """Start two upstreams of catalogue above one of inventory."""
    system = context.system
    system.start_platform()
    system.extra_settings['account'] = {'period_s': period, 'max_held': held}
    system.extra_settings.setdefault(
        'alerts', {'probe_s': 0.2, 'retry_min_s': 0.1}
    )
    for name, service in (
        ('c', 'inventory'),
        ('a', 'catalogue'),
        ('b', 'catalogue'),
    ):
        node = system.start_node(name)
        below = [] if service == 'inventory' else ['--calls', 'inventory']
        system.start_upstream(node, service, *below)
    context.shop = shop.ShopClient(front=system.start_node('front'))
    system.wait_for_members('inventory', 1)
    system.wait_for_members('catalogue', 2)


@given('a system that reports every {period:g} s and holds {held:d} reports')
def start_small_system(context, period, held):
    """Start a system whose nodes can buffer few reports."""
    start_system(context, period, held)


@when('upstream "{name}" sheds load')
def shed(context, name):
    """Make an upstream answer with 503."""
    url = context.system.nodes[name].upstream_url('/-/options')
    http.post_json(url, {'fail_status': 503})


@when(
    '{browse:d} customers browse, {order:d} order and {unknown:d} ask for an'
    ' unknown service'
)
def visit(context, browse, order, unknown):
    """Send requests and record the verdicts that the callers received."""
    context.shop.send_requests(browse, order, unknown)


@when('the platform goes out')
def stop_platform(context):
    """Make the simulated platform refuse requests."""
    http.post_json(context.system.platform_url('/-/faults'), {'down': True})


@when('the platform comes back')
def resume_platform(context):
    """Make the simulated platform answer again."""
    http.post_json(context.system.platform_url('/-/faults'), {'down': False})


def read_accounts(context):
    """Return the account part of each running node's status."""
    return [
        http.get_json(node.status_url())['account']
        for node in context.system.nodes.values()
        if node.process.is_running()
    ]


@when('the nodes have noticed the outage')
def wait_for_outage(context):
    """Wait until every node has buffered reports."""
    context.system.wait_for(
        lambda: all(item['held'] >= 3 for item in read_accounts(context)),
        'all nodes hold reports',
    )


@when('the nodes have lost reports')
def wait_for_loss(context):
    """Wait until every node has dropped reports."""
    context.system.wait_for(
        lambda: all(item['dropped'] >= 3 for item in read_accounts(context)),
        'all nodes drop reports',
    )


@when('no node holds reports')
def wait_for_flush(context):
    """Wait until every node has written its buffered reports."""
    before = sum(item['written'] for item in read_accounts(context))

    def is_flushed():
        found = read_accounts(context)
        written = sum(item['written'] for item in found)
        held = sum(item['held'] for item in found)
        return not held and written > before

    context.system.wait_for(is_flushed, 'all reports are written')
    context.lost = sum(item['dropped'] for item in read_accounts(context))


@when('node "{name}" has written a report')
def wait_for_report(context, name):
    """Wait until a report of a node is in the object store."""
    node = context.system.nodes[name]
    context.system.wait_for(
        lambda: http.get_json(node.status_url())['account']['written'] > 0,
        'a report is written',
    )


@when('all nodes are stopped as planned once they know that "{name}" is dead')
def stop_after_death(context, name):
    """Wait until the member is seen as dead, then stop the running nodes."""

    def is_known(node):
        members = http.get_json(node.status_url())['members']
        states = {item['instance']: item['state'] for item in members}
        return states[name] == 'dead'

    for node in context.system.nodes.values():
        if node.process.is_running():
            context.system.wait_for(lambda node=node: is_known(node), 'dead')
    stop_nodes(context)


@when('all nodes are stopped as planned')
def stop_nodes(context):
    """Read the upstreams' run counts, then stop all nodes."""
    context.runs = {
        service: len(context.system.list_runs(service))
        for service in ('catalogue', 'inventory')
    }
    running = [
        node
        for node in context.system.nodes.values()
        if node.process.is_running()
    ]
    for node in running:
        node.process.send_signal(signal.SIGTERM)
    for node in running:
        assert node.process.wait() == 0, node.name


@when(
    'an operator files a ticket that makes browsing of "catalogue" a download'
)
def file_ticket(context):
    """File a ticket and wait until all nodes hold it."""
    path = context.system.folder / 'ticket.yaml'
    path.write_text(TICKET)
    url = context.system.platform_url('')
    process = context.system.start_process(
        'file',
        'oleanderknot',
        'ticket',
        'file',
        str(path),
        '--table',
        url,
        '--yes',
    )
    assert process.wait() == 0, process.read_log()
    for node in context.system.nodes.values():
        context.system.wait_for(
            lambda node=node: (
                http.get_json(node.status_url())['policy']['scopes'].get(
                    'service/catalogue'
                )
                == 1
            ),
            'ticket 1 is in force',
        )


@when('the alert "{kind}" is in the table')
def wait_for_alert(context, kind):
    """Wait until the alert's row is in the table."""
    context.system.wait_for(
        lambda: any(kind in row['key'] for row in read_alert_rows(context)),
        'the alert is stored',
    )


def read_alert_rows(context):
    """Return the alert rows of the table."""
    body = json.dumps({'prefix': 'alert/', 'after': '', 'limit': 100})
    answer = http.request(
        'POST', context.system.platform_url('/scan'), body=body.encode()
    )
    return json.loads(answer[2])['rows']
