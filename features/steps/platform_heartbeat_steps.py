"""Steps about the order of heartbeats."""

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model


@given(
    'a heartbeat of "{upstream}" started at {started:d} with sequence '
    '{number:d}'
)
def start_order(context, upstream, started, number):
    """Take a first heartbeat."""
    context.order = decisions.HeartbeatFilter(
        service='s', host='127.0.0.1', port=1
    )
    take_heartbeat(context, upstream, started, number)
    assert context.taken


@given('no heartbeat yet')
def start_empty_order(context):
    """Build the order of a node that has just started."""
    context.order = decisions.HeartbeatFilter(
        service='s', host='127.0.0.1', port=1
    )


@when(
    'a heartbeat of "{upstream}" started at {started:d} with sequence '
    '{number:d} arrives'
)
def take_heartbeat(context, upstream, started, number):
    """Take a heartbeat."""
    context.taken = context.order.accept(
        model.UpstreamHeartbeat(
            upstream=upstream,
            started_ms=started,
            sequence=number,
            service='s',
            host='127.0.0.1',
            port=1,
            slots=10,
            draining=False,
            warmup_remaining_s=0.0,
        )
    )


@when('"{upstream}" started at {started:d} leaves')
def end_upstream(context, upstream, started):
    """Take a deregistration."""
    assert context.order.deregister(upstream, started)


@when('"{upstream}" started at {started:d} leaves unseen')
def end_unseen(context, upstream, started):
    """Take the deregistration of an upstream that is not in use."""
    assert not context.order.deregister(upstream, started)


@then('it is {outcome}')
def check_taken(context, outcome):
    """Check whether the last heartbeat told something new."""
    assert context.taken == (outcome == 'taken'), outcome
