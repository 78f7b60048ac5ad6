"""Steps in which the store returns from a copy of its rows."""

from behave import when


@when('the store returns from a copy that is {age_s:f} seconds old')
def return_from_copy(context, age_s):
    """Discard the latest transactions of the store and raise its epoch."""
    context.fleet.set_faults(restored_s=age_s)
