"""Steps for the faults that the soak sets at the store."""

import concurrent.futures
import time

from behave import given
from behave import then
from behave import when

from features.support import fleet

# Calls that set another fault during each return.
OTHER_CALLS = 6


@given('a store')
def start_store(context):
    """Start a store without nodes."""
    context.fleet = fleet.Fleet(system=context.system)
    context.fleet.start_store()


@when('it returns from a copy {count:d} times while other faults are set')
def return_often(context, count):
    """Set several faults at the same time, from threads."""
    set_faults = context.fleet.set_faults
    with concurrent.futures.ThreadPoolExecutor(OTHER_CALLS + 1) as executor:
        context.calls = [
            executor.submit(set_faults, **faults)
            for _ in range(count)
            for faults in [
                {'copied_at': time.monotonic()},
                *[{'forget': True}] * OTHER_CALLS,
            ]
        ]


@then('no call that sets a fault fails')
def check_calls(context):
    """Check that each call got an answer."""
    errors = [call.exception() for call in context.calls]
    assert not any(errors), [error for error in errors if error]
