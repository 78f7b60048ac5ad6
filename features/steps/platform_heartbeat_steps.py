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
        service='s', host='127.0.0.1', port=1, heartbeat_interval_s=1.5
    )
    context.now = 100.0
    offer_heartbeat(context, upstream, started, number)
    assert context.outcome is decisions.HeartbeatOutcome.ACCEPTED


@given('no heartbeat yet')
def build_empty_filter(context):
    """Build the heartbeat order of a node that has just started."""
    context.heartbeat_filter = decisions.HeartbeatFilter(
        service='s', host='127.0.0.1', port=1, heartbeat_interval_s=1.5
    )
    context.now = 100.0


@when(
    'a heartbeat of "{upstream}" started at {started:d} with sequence '
    '{number:d} arrives'
)
def offer_heartbeat(context, upstream, started, number):
    """Offer a heartbeat and store the outcome."""
    context.outcome = context.heartbeat_filter.accept(
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
        ),
        context.now,
    )


@when('{seconds:f} s pass')
def pass_time(context, seconds):
    """Advance the clock of the node."""
    context.now += seconds


@when('"{upstream}" started at {started:d} leaves')
def deregister_upstream(context, upstream, started):
    """Offer a deregistration and store the outcome."""
    context.outcome = context.heartbeat_filter.deregister(
        upstream, started, context.now
    )
    assert context.outcome is decisions.HeartbeatOutcome.ACCEPTED


@when('"{upstream}" started at {started:d} leaves without being known')
def deregister_unknown(context, upstream, started):
    """Offer the deregistration of an unknown upstream."""
    context.outcome = context.heartbeat_filter.deregister(
        upstream, started, context.now
    )
    assert context.outcome is decisions.HeartbeatOutcome.IGNORED


@when('"{upstream}" started at {started:d} asks to leave')
def offer_deregistration(context, upstream, started):
    """Offer a deregistration and store the outcome."""
    context.outcome = context.heartbeat_filter.deregister(
        upstream, started, context.now
    )


@then('it is {outcome}')
def check_outcome(context, outcome):
    """Check the outcome of the last heartbeat or deregistration."""
    expected = {
        'taken': decisions.HeartbeatOutcome.ACCEPTED,
        'ignored': decisions.HeartbeatOutcome.IGNORED,
        'not acknowledged': decisions.HeartbeatOutcome.UNCONFIRMED,
    }
    assert context.outcome is expected[outcome], context.outcome


@when(
    'the departure of "{upstream}" started at {started:d} with '
    '{announced} is adopted'
)
def adopt_departure(context, upstream, started, announced):
    """Adopt a departure that an earlier process has acknowledged."""
    number = announced.removeprefix('sequence ')
    context.current_left = context.heartbeat_filter.adopt(
        model.Departure(
            upstream=upstream,
            started_ms=started,
            sequence=int(number) if number.isdigit() else None,
        )
    )


@then('the newest start has {left}')
def check_current_left(context, left):
    """Check whether the adopted departure ended the newest start."""
    assert context.current_left == (left == 'left'), left
