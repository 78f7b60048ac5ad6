"""Steps in which the store returns from a copy of its rows."""

import base64
import time

from behave import given
from behave import when

from features.support import http as plain_http


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
