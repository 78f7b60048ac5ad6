"""Steps for overload of a chain of real processes."""

from behave import given
from behave import then
from behave import when

from bench import load_generator
from bench import load_kind
from features.support import http as http_support

KINDS = (
    load_kind.LoadKind(name='order', method='POST', path='/order'),
    load_kind.LoadKind(name='page', method='GET', path='/page'),
    load_kind.LoadKind(name='pattern', method='GET', path='/pattern'),
    load_kind.LoadKind(name='lookup', method='GET', path='/lookup'),
)


def build_kinds(service, deadline_ms=0):
    """Build the request kinds of the example shop."""
    return [
        load_kind.LoadKind(
            name=kind.name,
            method=kind.method,
            path='/%s%s' % (service, kind.path),
            deadline_ms=deadline_ms,
        )
        for kind in KINDS
    ]


@given('a shop of {names} whose inventory has {slots:d} slots')
def start_shop(context, names, slots):
    """Start a chain whose roots have classes by route."""
    context.system.node_command = ['features.support.shop_node']
    context.services = [name.strip(' "') for name in names.split(',')]
    belows = [*context.services[1:], None]
    for name, below in zip(context.services, belows, strict=True):
        node = context.system.start_node(name)
        arguments = ['--warm', '--slots', str(slots if not below else 100)]
        if below:
            arguments += ['--calls', below]
        context.system.start_upstream(node, name, *arguments)
    for name in context.services:
        context.system.wait_for_members(name, 1)


@given('a shop of {names} without control')
def start_plain_shop(context, names):
    """Start a chain whose nodes only forward."""
    context.system.extra_settings['control'] = False
    start_shop(context, names, 25)


@then('every request was answered')
def check_all_answered(context):
    """Check that no request failed."""
    failed = [item for item in context.outcomes if not item.succeeded]
    assert context.outcomes and not failed, failed[:3]


@given('upstream "{service}" needs {delay_ms:d} ms for each request')
def slow_down(context, service, delay_ms):
    """Set the delay of each request at the upstream of a service."""
    node = context.system.nodes[service]
    http_support.post_json(
        node.upstream_url('/-/options'), {'delay_ms': delay_ms}
    )


def send(context, phases, **options):
    """Send load to the first node of the chain."""
    first = context.services[0]
    node = context.system.nodes[first]
    generator = load_generator.LoadGenerator(
        urls=[node.caller_url('')],
        kinds=build_kinds(first, options.pop('deadline_ms', 0)),
        seed=11,
        **options,
    )
    context.outcomes = generator.run(phases)
    context.seconds = sum(seconds for _, seconds in phases)


@when('mixed load of {rate:d} requests a second arrives for {seconds:d} s')
def send_mixed(context, rate, seconds):
    """Send orders, pages, patterns and lookups in equal numbers."""
    send(context, [(rate, seconds)])


@when(
    '{count:d} requests with a deadline of {deadline_ms:d} ms arrive at node'
    ' "{name}"'
)
def send_hasty(context, count, deadline_ms, name):
    """Send requests with a short deadline, one after another."""
    url = context.system.nodes[name].caller_url('/%s/page' % name)
    context.refused = []
    for index in range(count):
        trace = '%032x' % (1000 + index)
        headers = {
            'traceparent': '00-%s-%016x-00' % (trace, 1),
            'Oleanderknot-Deadline-Ms': str(deadline_ms),
        }
        _, answer, _ = http_support.request('GET', url, headers=headers)
        context.refused.append((trace, answer.get('oleanderknot-rule', '')))


def list_late(context, seconds):
    """Return the outcomes of requests that started in the last seconds."""
    start = context.seconds - seconds
    return [item for item in context.outcomes if item.started_s >= start]


def find_shares(context, seconds):
    """Return the share of whole answers by kind."""
    shares = {}
    for kind in KINDS:
        of_kind = [
            item.succeeded
            for item in list_late(context, seconds)
            if item.kind == kind.name
        ]
        shares[kind.name] = sum(of_kind) / len(of_kind)
    return shares


@then(
    'of the last {seconds:d} s internal lookups were answered least and'
    ' orders most'
)
def check_order(context, seconds):
    """Check the shares of the classes against the shedding order."""
    shares = find_shares(context, seconds)
    print('answered: %s' % shares)
    values = [shares[kind.name] for kind in KINDS]
    for higher, lower in zip(values[:-1], values[1:], strict=True):
        assert higher >= lower, shares
    assert shares['order'] > shares['lookup'], shares


@then(
    'at least {percent:d} % of the orders of the last {seconds:d} s were'
    ' answered'
)
def check_orders(context, percent, seconds):
    """Check the share of answered orders."""
    shares = find_shares(context, seconds)
    assert shares['order'] * 100 >= percent, shares


@then(
    'at most {percent:d} % of the internal lookups of the last {seconds:d} s'
    ' were answered'
)
def check_lookups(context, percent, seconds):
    """Check the share of answered lookups."""
    shares = find_shares(context, seconds)
    assert shares['lookup'] * 100 <= percent, shares


def list_refused(context):
    """Return trace and rule of attempts that the first node refused."""
    if hasattr(context, 'refused'):
        return context.refused
    return [
        (trace, rule)
        for item in context.outcomes
        for trace, _, rule in item.attempts
        if rule
    ]


@then('at least {count:d} requests were refused as {rule}')
def check_rule(context, count, rule):
    """Check how often a rule decided at the first node."""
    rules = [found for _, found in list_refused(context)]
    assert rules.count(rule) >= count, {r: rules.count(r) for r in rules}


@then('no request refused at its first node ran at any upstream')
def check_no_work(context):
    """Check the traces of refused requests against those that ran."""
    refused = {trace for trace, _ in list_refused(context)}
    for service in context.services:
        ran = {run['trace'] for run in context.system.list_runs(service)}
        assert not ran & refused, (service, len(ran & refused))


@then(
    'of the last {seconds:d} s at most {percent:d} % of the runs at'
    ' "{service}" were wasted'
)
def check_waste(context, seconds, percent, service):
    """Check the share of runs whose request got no complete answer."""
    late = list_late(context, seconds)
    whole = {item.attempts[-1][0] for item in late if item.succeeded}
    sent = {item.attempts[0][0] for item in late}
    ran = [
        run['trace']
        for run in context.system.list_runs(service)
        if run['trace'] in sent
    ]
    wasted = sum(trace not in whole for trace in ran)
    print('%d of %d runs at %s were wasted' % (wasted, len(ran), service))
    assert wasted * 100 <= percent * len(ran), (wasted, len(ran))
