"""Steps that test the shares of organisations in a full service."""

import random

from behave import given
from behave import then
from behave import when

from features.support import share_load
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import share_reports

# Share of the usual requests that each large organisation sends.
LARGE_SHARE = 0.1


@given(
    '{count:d} organisations, {large:d} of them large, that usually send'
    ' {rate:d} requests a second'
)
def build_rates(context, count, large, rate):
    """Build the usual rates of organisations."""
    context.rates = {
        'large-%d' % number: LARGE_SHARE * rate for number in range(large)
    }
    small = count - large
    for number in range(small):
        context.rates['small-%d' % number] = (
            (1 - LARGE_SHARE * large) * rate / small
        )
    context.nodes = (1.0,) * 6


@given('upstreams that end {capacity:d} requests a second')
def set_capacity(context, capacity):
    """Set the capacity of the service."""
    context.capacity = capacity


@given('first nodes that receive {parts} of {total:d} requests')
def set_nodes(context, parts, total):
    """Set how the requests are divided among first nodes."""
    context.nodes = tuple(float(part) for part in parts.split(', '))
    assert sum(context.nodes) == total


@when('all send their usual rates for {seconds:d} s')
def play_usual(context, seconds):
    """Play the usual rates."""
    play(context, context.rates, seconds)


@when('"{name}" sends {factor:d} times as much for {seconds:d} s')
def play_excess(context, name, factor, seconds):
    """Play the rates with one organisation above its usual one."""
    context.greedy = name
    context.rates[name] *= factor
    play(context, context.rates, seconds)


def play(context, rates, seconds):
    """Play rates with and without shares, in equal systems."""
    context.load, context.plain_load = (
        share_load.ShareLoad(
            capacity=context.capacity, nodes=context.nodes, fair=fair
        )
        for fair in (True, False)
    )
    context.seconds = seconds
    context.load.play(rates, seconds)
    context.plain_load.play(rates, seconds)


@when('then the others send a third of their rates for {seconds:d} s')
def play_less(context, seconds):
    """Lower the rates of all other organisations."""
    rates = {
        name: rate if name == context.greedy else rate / 3
        for name, rate in context.rates.items()
    }
    context.load.play(rates, seconds)


@then('the others were refused at most half as often as without shares')
def check_others(context):
    """Check what organisations within their share gain."""
    others = [name for name in context.rates if name != context.greedy]
    refused = 1 - context.load.find_share(*others)
    plain = 1 - context.plain_load.find_share(*others)
    assert 2 * refused <= plain, (refused, plain)


@then(
    'the small organisations were served at least as often as without shares'
)
def check_small(context):
    """Check what organisations within their share gain."""
    names = [name for name in context.rates if name.startswith('small')]
    names.remove(context.greedy)
    found = context.load.find_share(*names)
    plain = context.plain_load.find_share(*names)
    assert found >= plain, (found, plain)


@then('each organisation was served at least a quarter as often as all')
def check_none_starved(context):
    """Check the share of each organisation against that of all."""
    check_each(context, 0.25)


@then('each organisation was served at least {least:f} times as often as all')
def check_each(context, least):
    """Check the share of each organisation against that of all."""
    check_groups(context, context.rates, least)


@then('each first node was served at least {least:f} times as often as all')
def check_nodes(context, least):
    """Check the share of each first node against that of all."""
    names = ['node %d' % number for number in range(len(context.nodes))]
    check_groups(context, names, least)


def check_groups(context, names, least):
    """Check the shares of groups of requests against that of all."""
    mean = context.load.find_share('all')
    for name in names:
        found = context.load.find_share(name)
        assert found >= least * mean, (name, found, mean)


@then('at least {least:d} in 100 of the capacity were used')
def check_used(context, least):
    """Check the requests served in the second half of the time."""
    rate = context.load.served['all'] / (context.seconds / 2)
    assert 100 * rate >= least * context.capacity, rate


@then('at least {least:d} in 100 of the requests of the last 2 s were served')
def check_served(context, least):
    """Check the requests served in the second half of the time."""
    found = context.load.find_share('all')
    assert 100 * found >= least, found


@then('the fair share of {capacity:d} among the demands {demands} is {share}')
def check_fair_share(context, capacity, demands, share):
    """Check the max-min fair share."""
    found = decisions.find_fair_share(
        [float(item) for item in demands.split(', ')], capacity
    )
    assert found == float(share), found


@when(
    'an organisation with {excess:d} times its share sends {count:d} requests'
    ' that were refused before'
)
def assign_fractions(context, excess, count):
    """Assign the numbers of returned requests."""
    rng = random.Random(9)
    context.fractions = []
    for _ in range(count):
        first, second = ('%032x' % rng.getrandbits(128) for _ in range(2))
        earlier = decisions.RememberedRefusal(
            refused_at=0.0,
            return_at=1.0,
            client_deadline=6.0,
            first_fraction=decisions.find_trace_fraction(first),
        )
        context.fractions.append(
            decisions.assign_fraction(second, excess=excess, earlier=earlier)
        )


@then('between {least:d} and {most:d} in 100 of them come before newcomers')
def check_improved(context, least, most):
    """Check how many of the requests have an improved number."""
    context.rest = [item for item in context.fractions if item > 1 / 8]
    improved = 1 - len(context.rest) / len(context.fractions)
    assert least <= 100 * improved <= most, improved


@then('the others come after {share:d} in 100 of the newcomers')
def check_rest(context, share):
    """Check the numbers of the other requests."""
    assert share <= 100 * min(context.rest), min(context.rest)
    assert max(context.rest) < 1


def build_call(organisation, number):
    """Build a call whose number is spread evenly below 0.5."""
    fraction = number * 2654435761 % 2**31
    return model.Call(
        service='stock',
        method='GET',
        path='/',
        headers=[],
        request_class=model.RequestClass.BROWSING,
        deadline=9.0,
        trace_id='%032x' % fraction,
        span_id='r1',
        organisation=organisation,
    )


@when('{count:d} organisations send one call each')
def count_many(context, count):
    """Count calls of many organisations."""
    context.shares = decisions.OrganisationShares(now=0.0)
    for number in range(count):
        context.shares.count(build_call('o%d' % number, number), 1)


@then('at most {most:d} of them are counted by name')
def check_counted(context, most):
    """Check the size of the table."""
    assert max(map(len, context.shares.demands)) <= most


@then('one that sends {part:d} of the next {count:d} calls is in excess')
def check_found(context, part, count):
    """Check that a new organisation finds its place in the table."""
    context.shares.refresh(1.5, 30.0)
    for number in range(count):
        name = 'new' if number < part else 'o%d' % number
        context.shares.count(build_call(name, number), 1)
    assert list(context.shares.refresh(1.5, 31.0)) == ['new']


@when('{count:d} calls without an organisation arrive at a full upstream')
def count_anonymous(context, count):
    """Count arrivals that belong to no organisation."""
    context.reports = share_reports.ShareReports()
    for number in range(count):
        context.reports.count_arrival(build_call('', number), 0.0)


@then('its report names no excess')
def check_no_excess(context):
    """Check what the report of a full upstream carries."""
    context.reports.own.counted_at -= 1.0
    assert context.reports.build(1.5, ()) is None
    assert not any(context.reports.own.served)
