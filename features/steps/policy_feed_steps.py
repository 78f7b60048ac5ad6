"""Steps that test the feed of the policy with prepared answers."""

import asyncio
import random
import re

from behave import given
from behave import then
from behave import when

from features.support import scripted_store
from oleanderknot import model
from oleanderknot.tasks import policy_feed
from oleanderknot.tasks import store_availability
from oleanderknot.tasks import store_epoch

ANSWER = re.compile(r'version (\d+) (?:of epoch (\d+)|without an epoch)')


def parse_answer(text):
    """Build the batch or fault that a text describes."""
    found = ANSWER.fullmatch(text)
    if found:
        version, epoch = found.groups()
        return model.RowBatch(
            version=int(version), epoch=epoch and int(epoch), rows=()
        )
    kind = {
        'history that is lost': model.FaultKind.HISTORY_LOST,
        'no response': model.FaultKind.UNKNOWN,
    }[text]
    return model.PlatformFault(kind=kind, detail=text)


@given('a feed that has read the policy at {answer}')
def build_feed(context, answer):
    """Build a feed and let it make its first read."""
    context.store = scripted_store.ScriptedStore()
    context.feed = policy_feed.PolicyFeed(
        store=context.store,
        on_policy=lambda policy, source: None,
        availability=store_availability.StoreAvailability(),
        epoch=store_epoch.StoreEpoch(),
        rng=random.Random(1),
        find_wait_s=lambda clock_s: 5.0,
    )
    answer_calls(context, answer)


@when('its poll is answered with {answers}')
def answer_calls(context, answers):
    """Let the feed make one call for each of the answers."""
    context.store.answers += map(parse_answer, answers.split(', '))
    while context.store.answers:
        context.confirmed_before = context.feed.confirmed_at
        asyncio.run(context.feed.fetch_changes())


@when('its connection ends')
def end_connection(context):
    """End the connection while no call is in progress."""
    context.store.connected = False


@then('its next call is {call}')
def check_call(context, call):
    """Let the feed make one more call, and check which."""
    answer_calls(context, 'no response')
    assert context.store.calls[-1] == call, context.store.calls


@then('the policy counts as confirmed by 1 answer')
def check_confirmed(context):
    """Check that the latest answer has confirmed nothing."""
    assert context.feed.confirmed_at == context.confirmed_before
