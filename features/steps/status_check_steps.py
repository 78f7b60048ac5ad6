"""Steps that test when an upstream is asked for its status."""

from behave import given
from behave import then

from oleanderknot import decisions
from oleanderknot import model


def build_report(upstream, started, state, sequence):
    """Build a heartbeat of the upstream at the address of the tests."""
    return model.UpstreamHeartbeat(
        upstream=upstream,
        started_ms=started,
        sequence=sequence,
        service='s',
        host='127.0.0.1',
        port=1,
        slots=10,
        draining=state == 'draining',
        warmup_remaining_s=0.0,
    )


@given(
    '{known} heartbeat of "{upstream}" started at {started:d} at {process} '
    'process of the node'
)
def build_filter(context, known, upstream, started, process):
    """Build the filter of a process that knows one start or none."""
    context.heartbeat_filter = decisions.HeartbeatFilter(
        service='s',
        host='127.0.0.1',
        port=1,
        heartbeat_interval_s=1.5,
        first_process=process == 'the first',
    )
    if known == 'one':
        context.heartbeat_filter.accept(
            build_report(upstream, started, 'ready', 1), 100.0
        )


@then(
    'a "{state}" heartbeat of "{upstream}" started at {started:d} {asks} '
    'the upstream'
)
def check_asked(context, state, upstream, started, asks):
    """Check whether the upstream must be asked about a heartbeat."""
    report = build_report(upstream, started, state, 3)
    asked = context.heartbeat_filter.needs_status_check(report)
    assert asked == (asks == 'asks'), asked


@then(
    'the sender of a heartbeat of "{sender}" is {liveness} when "{upstream}" '
    'answers {answer}'
)
def check_liveness(context, sender, liveness, upstream, answer):
    """Judge the answer to a status check."""
    status = None
    if answer != 'nothing':
        status = model.UpstreamStatus(
            upstream='' if upstream == 'no id' else upstream,
            unavailable=answer.startswith('503'),
            closing=answer.endswith('closes'),
        )
    found = decisions.judge_start(sender, status)
    assert found.value == liveness, found
