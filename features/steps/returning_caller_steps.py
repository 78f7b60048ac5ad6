"""Steps that test clients that return after a refusal."""

import random

from behave import given
from behave import then
from behave import when

from features.support import return_load
from oleanderknot import decisions

DIGEST = b'the same request'


@given(
    'clients that wait {timeout_s:d} s for a service of {capacity:d} requests'
    ' a second'
)
def build_load(context, timeout_s, capacity):
    """Build the load with a memory, and the same without one."""
    context.load, context.plain_load = (
        return_load.ReturnLoad(
            capacity=capacity, timeout_s=timeout_s, remember=remember
        )
        for remember in (True, False)
    )


@when(
    '{rate:d} requests a second arrive for {seconds:d} s and refused clients'
    ' return'
)
def play_load(context, rate, seconds):
    """Play a constant rate of new requests."""
    context.load.play(seconds, lambda at: rate)
    context.plain_load.play(seconds, lambda at: rate)


@when(
    '{rate:d} requests a second arrive in {high_s:d} of every {period_s:d} s,'
    ' else {low_rate:d}, for {seconds:d} s and refused clients return'
)
def play_bursts(context, rate, high_s, period_s, low_rate, seconds):
    """Play bursts of new requests."""
    context.load.play(
        seconds, lambda at: rate if at % period_s < high_s else low_rate
    )


def find_refused_share(counts, name):
    """Return the share of refused requests among new or returned ones."""
    refused = counts[name + '_refused']
    return refused / (refused + counts[name + '_admitted'])


@then('the returned requests were refused less often than the new ones')
def check_refused_less(context):
    """Compare the shares of refused requests."""
    counts = context.load.counts
    returned = find_refused_share(counts, 'returned')
    assert returned < find_refused_share(counts, 'new'), counts


@then(
    'when a returned request was refused, at most {most:d} in 100 newcomers'
    ' of the same 100 ms were admitted'
)
def check_newcomers(context, most):
    """Check which newcomers came before returned requests."""
    found = [
        counts
        for counts in context.load.windows.values()
        if counts['returned_refused']
    ]
    admitted = sum(counts['new_admitted'] for counts in found)
    total = admitted + sum(counts['new_refused'] for counts in found)
    assert 100 * admitted <= most * total, (admitted, total)


@then('at most half as many requests were refused again as without a memory')
def check_refused_again(context):
    """Compare the requests that were refused after their return."""
    again = context.load.counts['returned_refused']
    plain = context.plain_load.counts['returned_refused']
    assert 2 * again <= plain, (again, plain)


@then('no client gave up')
def check_none_gave_up(context):
    """Check that each refused client was served within its time."""
    assert context.load.counts['new_refused'] > 0
    assert context.load.gave_up == 0, context.load.gave_up


@given('a memory for {capacity:d} refusals')
def build_memory(context, capacity):
    """Build an empty memory."""
    context.memory = decisions.RefusalMemory(capacity=capacity)


@when(
    'a client with the deadline {deadline:f} is refused at {now:f} until'
    ' {until:f}'
)
def remember(context, deadline, now, until):
    """Remember the refusal of a client."""
    context.deadline = deadline
    context.memory.add(
        DIGEST,
        decisions.RememberedRefusal(
            refused_at=now, return_at=until, client_deadline=deadline
        ),
        now,
    )


@then('its request at {now:f} is {state:w}')
@then('its request at {now:f} is too {state:w}')
def check_own(context, now, state):
    """Check how the request of the last refused client is seen."""
    check_match(context, context.deadline, now, state)


@then(
    'the request of a client with the deadline {deadline:f} at {now:f} is'
    ' {state:w}'
)
def check_match(context, deadline, now, state):
    """Check how a request is seen by the memory."""
    entry = context.memory.match(DIGEST, deadline, now)
    if entry is None:
        found = 'unknown'
    else:
        found = 'due' if entry.return_at <= now else 'early'
    assert found == state, found


@when('{count:d} clients with the same request are refused at {now:f}')
def remember_equal(context, count, now):
    """Remember the refusals of clients with the same request."""
    for number in range(count):
        remember(context, now + 9 + number, now, now + 1)


@when('{count:d} clients with other requests are refused at {now:f}')
def remember_many(context, count, now):
    """Remember the refusals of clients with different requests."""
    for number in range(count):
        context.memory.add(
            b'%d' % number,
            decisions.RememberedRefusal(
                refused_at=now,
                return_at=now + 1,
                client_deadline=now + 1000,
            ),
            now,
        )


@then('it holds {count:d} refusals')
def check_size(context, count):
    """Check the number of entries."""
    assert context.memory.size == count, context.memory.size
    assert sum(map(len, context.memory.entries.values())) == count


@given('a service that has answered {rate:d} requests a second')
def build_schedule(context, rate):
    """Build a schedule after 10 s of answers."""
    context.schedule = decisions.ReturnSchedule(now=0.0)
    for number in range(10 * rate):
        context.schedule.count_answer(number / rate)


@when(
    '{count:d} clients that wait at most {latest_s:f} s are refused at one'
    ' moment'
)
def assign_returns(context, count, latest_s):
    """Assign the return times of clients that are refused together."""
    draw = random.Random(3).random
    context.waits = [
        context.schedule.assign(
            now=10.0, earliest_s=0.25, latest_s=latest_s, draw=draw
        )
        for _ in range(count)
    ]


@then(
    'none is told to wait longer than {latest_s:f} s or less than'
    ' {earliest_s:f} s'
)
def check_waits(context, latest_s, earliest_s):
    """Check the bounds of the return times."""
    assert earliest_s <= min(context.waits), min(context.waits)
    assert max(context.waits) <= latest_s, max(context.waits)


@then('no 100 ms see the return of more than {most:d} of them')
def check_spread(context, most):
    """Check that the return times are spread."""
    for start in context.waits:
        found = sum(start <= item < start + 0.1 for item in context.waits)
        assert found <= most, (start, found)
