"""Steps in which the store returns from a copy of its rows."""

import time

from behave import given
from behave import then
from behave import when

from features.support import wait


@when('the store returns from a copy that is {age_s:f} seconds old')
def return_from_old_copy(context, age_s):
    """Discard the latest transactions of the store and raise its epoch."""
    context.fleet.set_faults(copied_at=time.monotonic() - age_s)


@given('a copy is made of the store')
def make_copy(context):
    """Record the time up to which the store keeps its transactions."""
    context.copied_at = time.monotonic()


@when('the store goes away and returns from the copy')
def return_from_copy(context):
    """Let the store have the rows of the copy; no node reaches it yet."""
    context.fleet.set_faults(down=True, copied_at=context.copied_at)


@when('the store returns from the copy at once and gets {count:d} rows again')
def return_at_once(context, count):
    """Let the store have the rows of the copy, and answer at once."""
    context.fleet.set_faults(copied_at=context.copied_at, rewrites=count)


@then('"{name}" logs "{event}" within {limit_s:d} seconds')
def check_logged_soon(context, name, event, limit_s):
    """Wait for a line of an event, and check how long it took."""
    started = time.monotonic()
    wait.wait_until(
        lambda: (
            '"%s"' % event in context.fleet.sidecars[name].process.read_log()
        ),
        '%s logs %s' % (name, event),
    )
    took_s = time.monotonic() - started
    assert took_s <= limit_s, 'after %.1f s' % took_s


@when('{count:d} rows are put by other writers')
def put_rows(context, count):
    """Raise the version counter of the store."""
    context.fleet.put_other_rows(count)


@given('the store has a row of "{name}"')
def wait_for_row(context, name):
    """Wait until a node has written its row."""
    wait.wait_until(
        lambda: name in context.fleet.list_rows(), 'row of %s' % name
    )


@then('the store has {present:w} row of "{name}" within {limit_s:d} seconds')
def check_row(context, present, name, limit_s):
    """Wait until the row is there, or is not, and check how long it took."""
    started = time.monotonic()
    wait.wait_until(
        lambda: (name in context.fleet.list_rows()) == (present == 'a'),
        '%s row of %s' % (present, name),
    )
    took_s = time.monotonic() - started
    assert took_s <= limit_s, 'after %.1f s' % took_s
