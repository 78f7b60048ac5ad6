"""Steps that test which services a route depends on."""

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions


@given(
    '{count:d} requests of "{route}" have called "{service}" on the route '
    '"{called}"'
)
def count_calls(context, count, route, service, called):
    """Count requests that made the same call."""
    context.calls = decisions.RouteDependencies()
    context.called = called
    for _ in range(count):
        count_call(context, route, service)


@when('a request of "{route}" that has called "{service}" ends')
def count_call(context, route, service):
    """Count one request."""
    context.calls.count(route, [(service, context.called)])


@when('a policy sends "{route}" to "{service}"')
def apply_policy(context, route, service):
    """Put a policy with one route in force."""
    context.calls.set_targets({route: frozenset({service})})


@when('the upstream restarts')
def restart_upstream(context):
    """Drop what is known of the earlier start."""
    context.calls.clear()


@then('"{route}" depends on "{service}"')
def check_dependency(context, route, service):
    """Check the only dependency, if any."""
    found = [key[0] for key in context.calls.list_dependencies(route)]
    assert found == ([] if service == 'nothing' else [service]), found
