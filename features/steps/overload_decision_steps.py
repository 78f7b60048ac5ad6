"""Steps that test admission levels and limits on a simulated clock."""

import random

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model

WINDOW_S = 0.1


@given('an admission level at time 0')
def build_level(context):
    """Build an admission level and a seeded random generator."""
    context.level = decisions.AdmissionLevel(now=0.0)
    context.now = 0.0
    context.rng = random.Random(5)


@when(
    '{kind} calls arrive at {rate:d} a second and {starts:d} a second can'
    ' start, for {seconds:d} s'
)
def simulate_calls(context, kind, rate, starts, seconds):
    """Simulate a queue of 20 calls that drains at a fixed rate."""
    classes = (0, 1, 2, 3) if kind == 'mixed' else (1,)
    end = context.now + seconds
    backlog = 0.0
    context.last_second = []
    while context.now < end:
        context.now += 1 / rate
        backlog = max(0.0, backlog - starts / rate)
        priority = context.rng.choice(classes) + context.rng.random()
        admitted = context.level.admit(priority, context.now)
        if admitted and backlog < 20:
            backlog += 1
        elif admitted:
            context.level.count_queue_refusal()
        context.level.update_queue_delay(
            max(0, int(backlog) - 1) / starts, 0.02
        )
        if context.now > end - 1:
            context.last_second.append((int(priority), admitted))


@then(
    'between {low:d} % and {high:d} % of the browsing calls of the last'
    ' second were admitted'
)
def check_admitted(context, low, high):
    """Check the percentage of admitted calls."""
    share = sum(admitted for _, admitted in context.last_second) / len(
        context.last_second
    )
    assert low <= share * 100 <= high, share


@then('the level is between {low:g} and {high:g}')
def check_level(context, low, high):
    """Check the range of the admission level."""
    assert low <= context.level.level <= high, context.level.level


@then('no order and all internal lookups of the last second were refused')
def check_classes(context):
    """Check which request classes were refused."""
    assert all(
        admitted for number, admitted in context.last_second if number == 0
    )
    assert not any(
        admitted for number, admitted in context.last_second if number == 3
    )


@given('a concurrency limit of {slots:d} slots')
def build_slow_start_limit(context, slots):
    """Build the concurrency limit of a new upstream."""
    context.limit = decisions.ConcurrencyLimit(slots=slots, now=0.0)
    context.now = 0.0


@given('a warm concurrency limit of {slots:d} slots')
def build_warm_limit(context, slots):
    """Build the concurrency limit of an upstream without slow start."""
    context.limit = decisions.ConcurrencyLimit(slots=slots, now=0.0, warm=True)
    context.now = 0.0


def simulate_windows(context, count, own_time):
    """Simulate windows in which the limit is fully used."""
    limit = context.limit
    for _ in range(count):
        places = limit.find_max_running()
        cohorts = [
            limit.start(1 + index % places, context.now + index / 1000)
            for index in range(max(10, places))
        ]
        for cohort in cohorts:
            limit.finish(
                cohort, context.now + 0.09, own_time_s=own_time(places)
            )
        context.now += WINDOW_S + 0.001
    # The next call closes the last window.
    limit.start(1, context.now)


@when('{count:d} windows of calls with {own_ms:d} ms own time pass')
def simulate_constant_windows(context, count, own_ms):
    """Run windows whose own time does not depend on the limit."""
    simulate_windows(context, count, lambda places: own_ms / 1000)


@when(
    '{count:d} windows pass whose own time is {step_ms:d} ms for each call'
    ' at once above {free:d}'
)
def simulate_loaded_windows(context, count, step_ms, free):
    """Run windows whose own time grows with the number of calls."""
    small = decisions.ConcurrencyLimit(slots=free, now=0.0, warm=True)
    places, context.limit.limit = context.limit.limit, small.limit
    own_time = lambda n: (10 + max(0, n - free) * step_ms) / 1000  # noqa: E731
    simulate_windows(context, 1, own_time)
    context.limit.limit = places
    simulate_windows(context, count, own_time)


@when('{count:d} calls that started together are refused by the upstream')
def refuse_together(context, count):
    """Fail all calls of one window."""
    cohorts = [context.limit.start(1, 0.001) for _ in range(count)]
    for cohort in cohorts:
        context.limit.finish(cohort, 0.05, own_time_s=0.01, failed=True)


@then('the limit allows {count:d} calls')
def check_limit(context, count):
    """Check the number of concurrent calls allowed."""
    assert context.limit.find_max_running() == count, context.limit.limit


@then('the limit allows between {low:d} and {high:d} calls')
def check_limit_range(context, low, high):
    """Check the range of concurrent calls allowed."""
    assert low <= context.limit.find_max_running() <= high, context.limit.limit


@given('service times of {count:d} calls of {taken_ms:d} ms')
def build_service_times(context, count, taken_ms):
    """Record service times of calls of one route."""
    context.times = decisions.ServiceTimes()
    for index in range(count):
        context.times.count('GET', '/', taken_ms / 1000, index / 10)
    context.now = (count - 1) / 10


@then('the expected time is between {low:d} and {high:d} ms')
def check_expected(context, low, high):
    """Check the expected service time."""
    expected = context.times.expect('GET', '/', context.now) * 1000
    assert low <= expected <= high, expected


@then('after {seconds:d} s without a call it is below {high:d} ms')
def check_decay(context, seconds, high):
    """Check that the expected service time decays."""
    later = context.now + seconds
    assert context.times.expect('GET', '/', later) * 1000 < high


@given('the load of an upstream that reported level {level:g} at time 0')
def build_load(context, level):
    """Apply one load report."""
    context.load = decisions.InstanceLoad(limit=10)
    report = model.LoadReport(
        service='s', route='/', level=level, in_flight=8, limit=10
    )
    context.load.apply_report(report, 0.0)


@then('its level at time {now:g} is {level:g}')
def check_load_level(context, now, level):
    """Check the level that another node estimates."""
    assert context.load.estimate_level('/', now) == level


@then(
    'it is thought to have {first:d} calls at time 0 and {later:d} calls at'
    ' time 1'
)
def check_in_flight(context, first, later):
    """Check that an old report counts for less."""
    assert context.load.estimate_in_flight(0.0) == first
    assert context.load.estimate_in_flight(1.0) == later
