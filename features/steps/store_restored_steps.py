"""Steps in which the store returns from a copy of its rows."""

import base64
import time

from behave import given
from behave import then
from behave import when

from features.support import http as plain_http
from features.support import wait


@when('the store returns from a copy that is {age_s:f} seconds old')
def return_from_old_copy(context, age_s):
    """Discard the latest transactions of the store and raise its epoch."""
    context.fleet.set_faults(restored_s=age_s)


@given('a copy is made of the store')
def make_copy(context):
    """Record the time up to which the store keeps its transactions."""
    context.copied_at = time.monotonic()


@when('the store goes away and returns from the copy')
def return_from_copy(context):
    """Let the store have the rows of the copy; no node reaches it yet."""
    context.fleet.set_faults(
        down=True, restored_s=time.monotonic() - context.copied_at
    )


@when('{count:d} rows are put by other writers')
def put_rows(context, count):
    """Raise the version counter of the store."""
    for number in range(count):
        plain_http.post_json(
            context.fleet.store_url('/-/put'),
            {
                'table': 'servers',
                'key': 'i-%d' % number,
                'value': base64.b64encode(b'{}').decode(),
            },
        )


def has_row(context, name):
    """Return whether the store has the row of a node."""
    content = plain_http.get_json(
        context.fleet.store_url('/v1/rows-get?table=nodes&part=')
    )
    return name in {row['key'] for row in content['rows']}


@given('the store has a row of "{name}"')
def wait_for_row(context, name):
    """Wait until a node has written its row."""
    wait.wait_until(lambda: has_row(context, name), 'row of %s' % name)


@then('the store has {present:w} row of "{name}" within {limit_s:d} seconds')
def check_row(context, present, name, limit_s):
    """Wait until the row is there, or is not, and check how long it took."""
    started = time.monotonic()
    wait.wait_until(
        lambda: has_row(context, name) == (present == 'a'),
        '%s row of %s' % (present, name),
    )
    took_s = time.monotonic() - started
    assert took_s <= limit_s, 'after %.1f s' % took_s
