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
def build_filter(context, upstream, started, number):
    """Accept the first heartbeat of an upstream."""
    context.heartbeat_filter = decisions.HeartbeatFilter(
        service='s', host='127.0.0.1', port=1
    )
    offer_heartbeat(context, upstream, started, number)
    assert context.accepted


@given('no heartbeat yet')
def build_empty_filter(context):
    """Build the heartbeat order of a node that has just started."""
    context.heartbeat_filter = decisions.HeartbeatFilter(
        service='s', host='127.0.0.1', port=1
    )


@when(
    'a heartbeat of "{upstream}" started at {started:d} with sequence '
    '{number:d} arrives'
)
def offer_heartbeat(context, upstream, started, number):
    """Offer a heartbeat and store the outcome."""
    context.accepted = context.heartbeat_filter.accept(
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
def deregister_upstream(context, upstream, started):
    """Offer a deregistration and store the outcome."""
    assert context.heartbeat_filter.deregister(upstream, started)


@when('"{upstream}" started at {started:d} leaves without being known')
def deregister_unknown(context, upstream, started):
    """Offer the deregistration of an unknown upstream."""
    assert not context.heartbeat_filter.deregister(upstream, started)


@then('it is {outcome}')
def check_accepted(context, outcome):
    """Check the outcome of the last heartbeat."""
    assert context.accepted == (outcome == 'taken'), outcome
