"""Steps that test what a node knows of the load of upstreams."""

import random

from behave import given
from behave import then
from behave import when

from features.support import known_loads
from oleanderknot import decisions


@given(
    'two upstreams of 10 slots, "a" reported {calls:d} calls and "b" none at '
    'time 10'
)
def report_calls(context, calls):
    """Apply a report of each of two upstreams."""
    known_loads.build_view(context, 'ab')
    known_loads.report(context, 'a', in_flight=calls)
    known_loads.report(context, 'b')


@then('at time {now:f} "{name}" is chosen')
def check_choice_at(context, now, name):
    """Check the choice."""
    context.now = now
    assert known_loads.choose(context) == name


@then(
    'the estimate for "a" at time {now:f} is {calls:d} calls and at time '
    '{later:f} about the mean'
)
def check_estimate(context, now, calls, later):
    """Check how a report fades."""
    load = context.view.loads['a']
    usual = load.group.estimate(now)
    assert load.estimate_in_flight(now, usual) == calls
    usual = load.group.estimate(later)
    assert load.estimate_in_flight(later, usual) == usual * known_loads.SLOTS


@given('an upstream of 10 slots with {count:d} calls of this node')
def send_own_calls(context, count):
    """Note calls of this node at an upstream."""
    known_loads.build_view(context, 'a')
    context.view.loads['a'].outstanding = count


@when('it reports {count:d} calls')
def report_count(context, count):
    """Apply a report that includes the calls of this node."""
    known_loads.report(context, 'a', in_flight=count)


@then('{count:d} call of other nodes is expected there')
def check_others(context, count):
    """Check the estimated calls of other nodes."""
    assert context.view.loads['a'].estimate_in_flight(context.now) == count


@given(
    'three upstreams of 10 slots of which "{name}" is full for {count:d} calls'
)
def fill_one(context, name, count):
    """Send calls, which end at once, while one upstream is full."""
    known_loads.build_view(context, 'abc')
    context.rng = random.Random(1)
    context.full = name
    known_loads.report(context, name, in_flight=known_loads.SLOTS)
    for _ in range(count):
        known_loads.report(context, name, in_flight=known_loads.SLOTS)
        chosen = known_loads.choose(context, context.rng)
        assert chosen != name
        context.view.loads[chosen].take_turn()
        known_loads.report(context, chosen)


@when('"{name}" has free slots again')
def empty_one(context, name):
    """Apply a report of an idle upstream."""
    known_loads.report(context, name)


@then('at most {most:d} of the next {count:d} calls go to "{name}"')
def check_missed(context, most, count, name):
    """Count the next calls, which are not answered yet."""
    chosen = []
    for _ in range(count):
        chosen.append(known_loads.choose(context, context.rng))
        load = context.view.loads[chosen[-1]]
        load.take_turn()
        load.outstanding += 1
    assert chosen.count(name) <= most, chosen


@then('the gauge of the spread is {value:f} at time {now:f}')
def check_spread(context, value, now):
    """Check what operators see."""
    assert decisions.measure_spread(context.view, now) == value
