"""Steps that test the admission queue on a simulated clock."""

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model


@given('an admission queue of {count:d} calls')
def make_queue(context, count):
    """Build an admission queue."""
    context.queue = decisions.AdmissionQueue(capacity=count)
    context.dropped = []


@given(
    'an admission queue of {count:d} calls in which nested calls wait'
    ' {patience:g} times as long'
)
def make_patient_queue(context, count, patience):
    """Build a queue in which nested calls may wait longer."""
    context.queue = decisions.AdmissionQueue(
        capacity=count, nested_wait_factor=patience
    )
    context.dropped = []


def push(context, name, now, *, cls='BROWSING', depth=0, deadline=9.0, s=0.0):
    """Queue one call."""
    entry = decisions.QueuedCall(
        request_class=model.RequestClass[cls],
        depth=depth,
        arrived_at=now,
        deadline=deadline,
        expected_s=s,
        token=name,
    )
    context.dropped += context.queue.push(entry, now)
    return entry


@when('these calls are queued at time {now:g}')
def push_table(context, now):
    """Queue the calls of a table."""
    for row in context.table:
        depth = int(row['depth'])
        push(context, row['name'], now, cls=row['class'], depth=depth)


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
def push_slow(context, name, deadline, work):
    """Queue a call with a deadline."""
    push(context, name, 0.0, deadline=deadline, s=work)


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
    dropped = [(entry.token, why.value) for entry, why in context.dropped]
    assert dropped == [(name, rule) for name in names.split(', ')], dropped
