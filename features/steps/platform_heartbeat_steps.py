"""Steps that test the ordering of heartbeats."""

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
    """Accept the first heartbeat of an upstream."""
    context.order = decisions.HeartbeatFilter(
        service='s', host='127.0.0.1', port=1
    )
    take_heartbeat(context, upstream, started, number)
    assert context.taken


@given('no heartbeat yet')
def start_empty_order(context):
    """Build the heartbeat order of a node that has just started."""
    context.order = decisions.HeartbeatFilter(
        service='s', host='127.0.0.1', port=1
    )


@when(
    'a heartbeat of "{upstream}" started at {started:d} with sequence '
    '{number:d} arrives'
)
def take_heartbeat(context, upstream, started, number):
    """Offer a heartbeat and store the outcome."""
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
    """Offer a deregistration and store the outcome."""
    assert context.order.deregister(upstream, started)


@when('"{upstream}" started at {started:d} leaves without being known')
def end_unseen(context, upstream, started):
    """Offer the deregistration of an unknown upstream."""
    assert not context.order.deregister(upstream, started)


@then('it is {outcome}')
def check_taken(context, outcome):
    """Check the outcome of the last heartbeat."""
    assert context.taken == (outcome == 'taken'), outcome
