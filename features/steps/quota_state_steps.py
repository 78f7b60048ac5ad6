"""Steps that test the state of the limits over all nodes."""

import dataclasses

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import quota_members


@given('nodes of "{names}" and settings without data centres')
def build_members(context, names):
    """Build what a node knows of others."""
    context.known = decisions.MemberTable()
    context.records = [
        model.Member(
            instance='node-' + name,
            incarnation=1,
            version=1,
            state=model.MemberState.TAKING,
            data_centre=name,
            host='127.0.0.1',
            peer_port=1,
        )
        for name in names.split(',')
    ]
    context.known.merge(context.records)
    context.members = quota_members.QuotaMembers(
        identity=model.NodeIdentity(
            instance='node-dc0', incarnation=1, data_centre='dc0'
        ),
        data_centres=(),
        table=context.known,
        pool=None,
        list_unreached=list,
    )


@when('all nodes of "{name}" are found dead')
def find_dead(context, name):
    """Mark the nodes of a data centre as dead."""
    context.known.merge(
        dataclasses.replace(record, state=model.MemberState.DEAD)
        for record in context.records
        if record.data_centre == name
    )
    context.members.refresh(0.0)


@then('each data centre creates one of {count:d} shares')
def check_shares(context, count):
    """Check the number of data centres that create tokens."""
    assert len(context.members.data_centres) == count


@given('a node holds {count:d} tokens until second {end:g}')
def hold_tokens(context, count, end):
    """Add tokens that expire."""
    context.held = decisions.HeldTokens()
    context.held.add(count, end)


@when('it takes one at second {taken:g} and gives it back at second {back:g}')
def take_and_give_back(context, taken, back):
    """Take a token for a request that does not run."""
    assert context.held.take(taken)
    assert context.held.give_back(taken, back)


@then('it holds {count:d} tokens at second {now:g}')
def check_held(context, count, now):
    """Check the number of tokens that have not expired."""
    context.held.drop_expired(now)
    assert context.held.size == count


@then('it can take none at second {now:g}')
def check_none(context, now):
    """Check that all tokens have expired."""
    assert not context.held.take(now)
