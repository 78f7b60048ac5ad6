"""Steps that test the admission queue on a simulated clock."""

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model


@given('an admission queue of {count:d} calls')
def build_queue(context, count):
    """Build an admission queue."""
    context.queue = decisions.AdmissionQueue(capacity=count)
    context.dropped = []


@given(
    'an admission queue of {count:d} calls in which nested calls wait'
    ' {factor:g} times as long'
)
def build_nested_queue(context, count, factor):
    """Build a queue in which nested calls may wait longer."""
    context.queue = decisions.AdmissionQueue(
        capacity=count, nested_wait_factor=factor
    )
    context.dropped = []


def push(
    context,
    name,
    now,
    *,
    class_name='BROWSING',
    depth=0,
    deadline=9.0,
    expected_s=0.0,
):
    """Queue one call."""
    entry = decisions.QueuedCall(
        request_class=model.RequestClass[class_name],
        depth=depth,
        arrived_at=now,
        deadline=deadline,
        expected_s=expected_s,
        token=name,
    )
    context.dropped += context.queue.push(entry, now)
    return entry


@when('these calls are queued at time {now:g}')
def push_table(context, now):
    """Queue the calls of a table."""
    for row in context.table:
        depth = int(row['depth'])
        push(context, row['name'], now, class_name=row['class'], depth=depth)


@when('calls "{names}" are queued at time {now:g}')
def push_names(context, names, now):
    """Queue browsing calls."""
    context.entries = {
        name: push(context, name, now) for name in names.split(', ')
    }


@when(
    'a call "{name}" is queued with deadline {deadline:g} and {work:g} s of'
    ' work'
)
def push_with_deadline(context, name, deadline, work):
    """Queue a call with a deadline."""
    push(context, name, 0.0, deadline=deadline, expected_s=work)


@when('call "{name}" leaves the queue')
def remove(context, name):
    """Remove a call, as when its caller has disconnected."""
    context.queue.remove(context.entries[name])


@then('at time {now:g} the queue runs "{names}"')
def check_pops(context, now, names):
    """Check the order of the next calls."""
    ran = []
    for _ in names.split(', '):
        entry, dropped = context.queue.pop(now)
        context.dropped += dropped
        ran.append(entry.token if entry else None)
    assert ran == names.split(', '), ran


@then('the queue refused "{names}" as {rule}')
def check_dropped(context, names, rule):
    """Check which calls were refused and by which rule."""
    dropped = [
        (entry.token, rule_found.value)
        for entry, rule_found in context.dropped
    ]
    assert dropped == [(name, rule) for name in names.split(', ')], dropped
