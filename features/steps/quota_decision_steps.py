"""Steps that play the limits over all nodes without a network."""

import random

from behave import given
from behave import then
from behave import when

from features.support import quota_faults
from features.support import quota_network
from oleanderknot import model

WINDOW_S = 5.0

# Longest time that a node may hold a token.
HELD_S = 0.5

# Time for homes to be established, and then for stocks to fill.
START_S = 4.0


def start(context, sizes, rate, burst):
    """Start nodes and let their stocks fill."""
    context.network = quota_network.QuotaNetwork(
        sizes=[int(size) for size in sizes.split(',')],
        rate=rate,
        burst=burst,
        seed=1,
    )
    context.add_cleanup(context.network.close)
    context.faults = quota_faults.QuotaFaults(network=context.network)
    context.network.play(START_S + ((burst + 12) / rate if rate else 0), 0)


@given(
    '{sizes} nodes and a limit of {rate:d} requests a second and a burst of'
    ' {burst:d}'
)
def start_limited(context, sizes, rate, burst):
    """Start nodes with one organisation."""
    start(context, sizes, rate, burst)


@given('{sizes} nodes and no organisation')
def start_unlimited(context, sizes):
    """Start nodes with a policy without organisations."""
    start(context, sizes, None, 0)


def play(context, factor, names, span_s):
    """Send a multiple of the limit."""
    context.span_s = span_s
    context.before = len(context.network.runs)
    context.network.sent = 0
    context.network.refused.clear()
    rate = context.network.organisation.rate or 0
    context.network.play(span_s, factor * rate, names)


@when('clients send {factor:g} of the limit to {nodes} nodes for {span:d} s')
def send_to_some(context, factor, nodes, span):
    """Send requests to the first nodes, or to all."""
    names = list(context.network.nodes)
    play(
        context, factor, names if nodes == 'all' else names[: int(nodes)], span
    )


@when('clients send {factor:g} of the limit for {span:d} s')
def send_to_all(context, factor, span):
    """Send requests to all nodes."""
    play(context, factor, None, span)


@when('clients send {factor:g} of the limit for {span:d} s while {failure}')
def send_with_failure(context, factor, span, failure):
    """Send requests and cause a failure after a quarter of the time."""
    name, _, seconds = failure.partition(' for ')
    after_s = float(seconds.removesuffix(' s')) if seconds else 0.0
    context.network.loop.call_later(
        span / 4, context.faults.cause, name, after_s
    )
    play(context, factor, None, span)


@when(
    'the first home leaves, and {wait:g} s later clients send {factor:g} of '
    'the limit for {span:g} s'
)
def leave_and_send(context, wait, factor, span):
    """Let the first home leave before requests arrive."""
    context.faults.cause('the first home leaves', 0.0)
    context.network.play(wait, 0)
    play(context, factor, None, span)


@given(
    'each node has records of {count:d} dead nodes that the store does not '
    'list'
)
def add_dead_records(context, count):
    """Let all nodes know of instances whose rows are gone."""
    network = context.network
    for node in network.nodes.values():
        node.table.merge(
            model.Member(
                instance='gone-%d' % number,
                incarnation=1,
                version=1,
                state=model.MemberState.DEAD,
                data_centre=node.identity.data_centre,
                host='127.0.0.1',
                peer_port=1,
            )
            for number in range(count)
        )


@when('the first home is restarted, and a minute passes')
def restart_first_home(context):
    """Kill and start the first home, and wait."""
    network = context.network
    context.home = context.faults.list_nodes(network.data_centres[0])[0]
    context.faults.kill(context.home, 1.0)
    network.play(60.0, 0)


@then('the first home creates tokens')
def check_creates(context):
    """Check that the first home is one again."""
    network = context.network
    node = network.nodes[context.home]
    assert quota_faults.may_create(node, network.loop.time())


@when('two nodes are gone and the others are restarted')
def restart_remaining(context):
    """Kill two nodes for good, and the others once."""
    network = context.network
    nodes = context.faults.list_nodes(network.data_centres[0])
    for name in nodes[:2]:
        network.kill(name)
    for name in nodes[2:]:
        context.faults.kill(name, 1.0)
    network.play(1.0 + START_S, 0)


@when('the first home of each data centre is cut off for {span:d} s')
def cut_first_homes(context, span):
    """Cut off the first homes one by one."""
    for data_centre in context.network.data_centres:
        home = context.faults.list_nodes(data_centre)[0]
        context.faults.cut([home], after_s=span)


@when('seed {seed:d} plays {span:d} s of waves and failures')
def play_waves(context, seed, span):
    """Alternate calm and surge while many failures occur."""
    rng = random.Random(seed)
    context.network.not_run_share = 0.1
    context.network.loop.call_soon(context.faults.play_random, rng, 5.0)
    for _ in range(span // 12):
        play(context, rng.choice((0, 0.5, 0.9)), None, 7)
        play(context, 6, None, 5)


@when(
    'the limit is lowered to {rate:d} requests a second and a burst of'
    ' {burst:d}'
)
def lower_limit(context, rate, burst):
    """Put a lower limit in force at all nodes."""
    context.network.set_policy(rate, burst)
    context.lowered_at = context.network.loop.time()


@when(
    'the organisation is taken out of the policy and put back after {span:g} s'
)
def replace_organisation(context, span):
    """Put a policy without the organisation in force for some time."""
    context.network.put_organisations([])
    context.network.play(span, 0)
    context.network.put_organisations([context.network.organisation])


@when('a limit of {rate:d} requests a second and a burst of {burst:d} is set')
def set_limit(context, rate, burst):
    """Put the first limit in force at all nodes."""
    context.network.set_policy(rate, burst)


@when('each of {count:d} organisations sends one request')
def send_as_many(context, count):
    """Let many organisations send one request to a node."""
    network = context.network
    organisations = [
        model.Organisation(name='o-%d' % number, rate=5.0, burst=5.0)
        for number in range(count)
    ]
    network.put_organisations(organisations)
    node = next(iter(network.nodes.values()))

    async def acquire_all():
        for organisation in organisations:
            await node.quota.acquire(organisation)

    network.loop.run_until_complete(acquire_all())


def check_bound(context, since=0.0):
    """Check the requests of each window against the formula."""
    organisation = context.network.organisation
    bound = (
        organisation.rate * (WINDOW_S + HELD_S)
        + organisation.burst
        + max(12, len(context.network.data_centres))
    )
    most = context.network.find_most_runs(WINDOW_S, since)
    assert 0 < most <= bound, (most, bound)


@then('no window exceeds the bound, and no data centre ever had two homes')
def check_bound_and_homes(context):
    """Check the bound and the number of homes."""
    check_bound(context)
    assert context.faults.most_homes == 1, context.faults.most_homes


@then('no window that begins {later:d} s later exceeds the bound')
def check_lowered(context, later):
    """Check the bound of the lower limit."""
    check_bound(context, context.lowered_at + later)


@then('at least {share:g} of the limit ran, and no window exceeds the bound')
def check_share(context, share):
    """Check that the limit can be used, and holds."""
    count = len(context.network.runs) - context.before
    allowed = context.network.organisation.rate * context.span_s
    assert count >= share * allowed, (count, allowed)
    check_bound(context)


@then('at least {share:g} of the limit ran in the last {span:d} s')
def check_last_share(context, share, span):
    """Check that all homes create tokens again."""
    end = context.network.runs[-1]
    count = sum(at > end - span for at in context.network.runs)
    rate = context.network.organisation.rate
    assert end > context.network.loop.time() - 1.0
    assert count >= share * rate * span, count


@then('fewer than 1 in {count:d} requests were refused')
def check_refused(context, count):
    """Check the refusals of an organisation inside its limit."""
    network = context.network
    assert len(network.refused) * count < network.sent, (
        len(network.refused),
        network.sent,
    )


@then('nodes hold tokens')
def check_some_tokens(context):
    """Check that there are tokens to expire."""
    assert count_tokens(context) > 0


@then('no node holds a token after 0.5 s')
def check_no_tokens(context):
    """Check that the tokens of all nodes have expired."""
    context.network.play(HELD_S, 0)
    assert count_tokens(context) == 0


def count_tokens(context):
    """Return the tokens that all nodes hold."""
    now = context.network.loop.time()
    held = [
        account.client.held
        for node in context.network.nodes.values()
        for account in node.quota.accounts.values()
    ]
    for tokens in held:
        tokens.drop_expired(now)
    return sum(tokens.size for tokens in held)


def count_states(context):
    """Return how many organisations the nodes keep state of."""
    return sum(
        len(node.quota.accounts) + len(node.quota.homes.issuers)
        for node in context.network.nodes.values()
    )


@then('the nodes hold state of organisations')
def check_states(context):
    """Check that there is state to be removed."""
    assert count_states(context) > 0


@then('the nodes hold no state of organisations')
def check_no_states(context):
    """Check that all state was removed."""
    assert count_states(context) == 0, count_states(context)


@then('no message was sent')
def check_no_messages(context):
    """Check that nothing was sent from the start on."""
    assert context.network.messages == 0
