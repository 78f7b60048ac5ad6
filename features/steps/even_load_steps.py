"""Steps that test how evenly upstreams are loaded."""

import dataclasses

from behave import given
from behave import then
from behave import when

from features.support import load_play
from features.support import pull_play
from features.support import spread_choices
from features.support import spread_deployment

SEEDS = (1, 2)

# Load of the busiest upstream over the mean that counts as even.
EVEN_RATIO = 1.05


@given(
    '{nodes:d} nodes that call {upstreams:d} upstreams of {slots:d} slots and '
    'speeds "{speeds}"'
)
def describe_deployment(context, nodes, upstreams, slots, speeds):
    """Describe the deployment that is played."""
    context.deployment = spread_deployment.SpreadDeployment(
        nodes=nodes,
        upstreams=upstreams,
        slots=slots,
        speeds=tuple(map(float, speeds.split(','))),
    )


@given(
    'calls of {call_ms:d} ms that demand {load:f} of the capacity, with '
    'reports noted every {interval_ms:d} ms'
)
def describe_calls(context, call_ms, load, interval_ms):
    """Describe the calls and the age of reports."""
    context.deployment = dataclasses.replace(
        context.deployment,
        call_s=call_ms / 1000,
        load=load,
        report_interval_s=interval_ms / 1000,
    )


def play(context, name, build):
    """Play a choice with each seed, and print and return the mean result."""
    results = [
        build(dataclasses.replace(context.deployment, seed=seed)).run()
        for seed in SEEDS
    ]
    values = {
        field.name: sum(getattr(item, field.name) for item in results)
        / len(results)
        for field in dataclasses.fields(results[0])
    }
    print(name, {key: round(value, 2) for key, value in values.items()})
    return dataclasses.replace(results[0], **values)


@when('the choice of the product and the former one are played')
def play_both(context):
    """Play the product's choice and the one before it."""
    for name, choose in (
        ('even', spread_choices.choose_even),
        ('former', spread_choices.choose_former),
    ):
        result = play(
            context,
            name,
            lambda item, choose=choose: load_play.LoadPlay(
                given=item, choose=choose
            ),
        )
        setattr(context, name, result)


@then(
    'the calls wait less than with the former choice, on average and at 99 in '
    '100'
)
def check_waits(context):
    """Compare the waits."""
    assert context.even.wait_ms < context.former.wait_ms
    assert context.even.late_wait_ms < context.former.late_wait_ms


@then('the busiest upstream is no more loaded, or hardly more than the mean')
def check_busiest(context):
    """Compare the busiest upstreams."""
    most = max(EVEN_RATIO, context.former.busiest)
    assert context.even.busiest <= most, context.even


@then('fewer calls wait while another upstream has a free slot')
def check_needless(context):
    """Compare the calls that waited needlessly."""
    assert context.even.needless < context.former.needless


@then('no more calls go to other data centres')
def check_remote(context):
    """Compare the calls to other data centres."""
    assert context.even.remote <= context.former.remote


@then('each call takes 2 messages')
def check_messages(context):
    """Check that no message was added."""
    assert context.even.messages == context.former.messages == 2


@when('all alternatives are played')
def play_alternatives(context):
    """Play each alternative of the design page."""
    play_both(context)
    context.free = play(
        context,
        'free capacity',
        lambda item: load_play.LoadPlay(
            given=item, choose=spread_choices.choose_by_free_capacity
        ),
    )
    context.returned = play(
        context,
        'returned',
        lambda item: load_play.LoadPlay(
            given=item,
            choose=spread_choices.choose_even,
            returns_waiting=True,
        ),
    )
    context.pulled = play(
        context, 'asked for', lambda item: pull_play.PullPlay(given=item)
    )


@then(
    'returned calls and calls that upstreams ask for take more than 2 messages'
)
def check_other_messages(context):
    """Check why these alternatives are not used."""
    assert context.returned.messages > 2, context.returned
    assert context.pulled.messages > 2, context.pulled


@then('calls wait less than with a probability in proportion to free capacity')
def check_free_capacity(context):
    """Compare with the alternative that needs no more messages either."""
    assert context.even.wait_ms < context.free.wait_ms, context.free
