"""Steps that test what a node knows of the speed of upstreams."""

import asyncio
import random
import types

from behave import given
from behave import then
from behave import when

from features.support import known_loads
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import admission


@given(
    'two upstreams of 10 slots that work {first:d} ms and {second:d} ms on a '
    'call'
)
def report_times(context, first, second):
    """Apply many reports with the times of two upstreams."""
    known_loads.build_view(context, 'ab')
    for _ in range(50):
        known_loads.report(context, 'a', own_time_s=first / 1000)
        known_loads.report(context, 'b', own_time_s=second / 1000)


@then('a call goes to the {place} one')
def check_place(context, place):
    """Check the choice among two."""
    name = {'first': 'a', 'second': 'b'}[place]
    assert known_loads.choose(context) == name


@when('{count:d} calls are outstanding at the first one')
def hold_calls(context, count):
    """Note calls of this node."""
    context.view.loads['a'].outstanding = count


@when('the second one starts anew')
def restart(context):
    """Apply the first report after a start, and more of the other one."""
    context.starts['b'] += 1
    known_loads.report(context, 'b')
    for _ in range(50):
        known_loads.report(context, 'a', own_time_s=0.01)


@when('the second one works {time_ms:d} ms on a call')
def report_time(context, time_ms):
    """Apply reports of the second one."""
    for _ in range(50):
        known_loads.report(context, 'b', own_time_s=time_ms / 1000)


@then('both are thought to be equally fast')
@then('the first one is not thought to be faster')
def check_equal(context):
    """Compare the relative times."""
    loads = context.view.loads
    difference = loads['a'].relative_time - loads['b'].relative_time
    assert abs(difference) < 0.05, loads


@when('calls take {call_ms:d} ms with their nested calls')
def record_call_times(context, call_ms):
    """Record answered calls, and forget the relative times until then."""
    call = types.SimpleNamespace(service='s', route='r')
    for name in 'ab':
        context.view.record_call_time(name, call, call_ms / 1000)
        context.view.loads[name].forget_speed()


@when('both report their times again')
def report_again(context):
    """Apply more reports with the times of before."""
    for _ in range(50):
        known_loads.report(context, 'a', own_time_s=0.01)
        known_loads.report(context, 'b', own_time_s=0.03)


@then('a call at the second one is expected to take {ratio:f} times as long')
def check_ratio(context, ratio):
    """Compare the relative times."""
    loads = context.view.loads
    found = loads['b'].relative_time / loads['a'].relative_time
    assert abs(found - ratio) < 0.02, found


@given(
    'two upstreams that work {short_ms:d} ms on a call of "{short}" and '
    '{long_ms:d} ms on one of "{long}"'
)
def describe_routes(context, short_ms, short, long_ms, long):
    """Describe two routes that both upstreams serve."""
    known_loads.build_view(context, 'ab')
    context.route_times = {short: short_ms / 1000, long: long_ms / 1000}
    context.routes = (short, long)


@when('one reports the long calls more often than the other')
def report_routes(context):
    """Apply reports of which one upstream sends more about long calls."""
    short, long = context.routes
    rng = random.Random(1)
    for _ in range(300):
        for name, long_share in (('a', 0.1), ('b', 0.9)):
            route = long if rng.random() < long_share else short
            known_loads.report(
                context,
                name,
                own_time_s=context.route_times[route],
                route=route,
            )


@given('an admission whose calls take {time_ms:d} ms')
def build_admission(context, time_ms):
    """Build an admission; it needs an event loop for its clock."""
    context.call_s = time_ms / 1000
    context.call = model.Call(
        service='s',
        method='GET',
        path='/',
        headers=[],
        request_class=model.RequestClass(0),
        deadline=1.0,
        trace_id='%032x' % 1,
        span_id='r',
        route='r',
    )

    async def build():
        return admission.Admission(slots=known_loads.SLOTS, warm=True)

    context.admission = asyncio.run(build())
    context.first_start = read_report(context).start


def read_report(context):
    """Return the load report of the admission."""
    return context.admission.build_report(context.call, decisions.MAX_LEVEL)


@when('{count:d} calls have ended')
def end_calls(context, count):
    """Start and end calls, of which each second one takes twice as long."""
    for number in range(count):
        permit = context.admission.start(number / 100)
        context.admission.record_outcome(
            context.call,
            permit,
            own_time_s=context.call_s * (0.5 if number % 2 else 1.5),
            failed=False,
        )


@when('the upstream starts anew')
def forget_times(context):
    """Discard what was measured."""
    context.admission.forget_times()


@then('its report names no time')
def check_no_time(context):
    """Check that too few calls were measured."""
    assert read_report(context).own_time_s is None


@then('its report names about {time_ms:d} ms')
def check_time(context, time_ms):
    """Check the reported time."""
    found = read_report(context)
    assert abs(found.own_time_s * 1000 - time_ms) < 0.25 * time_ms, found


@then('its report names no time and another start')
def check_restart(context):
    """Check the report after a start of the upstream."""
    check_no_time(context)
    assert read_report(context).start != context.first_start
