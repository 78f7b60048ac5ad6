"""Steps about the discovery of nodes through the store."""

import asyncio
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
from expression import Ok

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import store_availability
from oleanderknot.tasks import store_discovery
from oleanderknot.tasks import store_epoch


def build_member(instance):
    """Build the record of a node that accepts work."""
    return model.Member(
        instance=instance,
        incarnation=1,
        version=1,
        state=model.MemberState.TAKING,
        data_centre='dc1',
        host='127.0.0.1',
        peer_port=1,
    )


@given('the table of nodes lists a known node and one that cannot be reached')
def build_discovery(context):
    """Build a discovery whose store has three rows."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    row = border.NodeRow(
        host='127.0.0.1', port=1, data_centre='dc1'
    ).model_dump_json()
    rows = tuple(
        model.TableRow(key=name, version=1, value=row)
        for name in ('own', 'known', 'other')
    )
    store = mock.Mock()
    store.read = mock.AsyncMock(
        return_value=Ok(model.RowBatch(rows=rows, version=1))
    )
    members = mock.Mock()
    members.own = build_member('own')
    members.table = decisions.MemberTable()
    members.table.merge([members.own, build_member('known')])
    context.pool = mock.Mock()
    context.pool.dial = mock.AsyncMock(side_effect=ConnectionError('cut'))

    async def build():
        context.discovery = store_discovery.StoreDiscovery(
            members=members,
            pool=context.pool,
            store=store,
            watch=store_availability.StoreAvailability(),
            epoch=store_epoch.StoreEpoch(),
            rng=random.Random(1),
            first_start=False,
        )

    context.loop.run_until_complete(build())


async def run_for(discovery, duration_s):
    """Run the discovery until a time has passed."""
    task = asyncio.ensure_future(discovery.run())
    await asyncio.sleep(duration_s)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@when('the node discovers others for {duration_s:d} seconds')
def discover(context, duration_s):
    """Run the discovery while the other node cannot be reached."""
    context.loop.run_until_complete(run_for(context.discovery, duration_s))


@then('it reads the table once and dials the other node at least twice')
def check_dials(context):
    """Check that no read was needed for the later attempts."""
    assert context.discovery.store.read.await_count == 1
    targets = [item.args[2][0] for item in context.pool.dial.await_args_list]
    assert len(targets) >= 2 and set(targets) == {'other'}, targets


@when('the node can be reached, for {duration_s:d} seconds')
def reach(context, duration_s):
    """Let the next attempt succeed."""
    context.pool.dial = mock.AsyncMock()
    context.loop.run_until_complete(run_for(context.discovery, duration_s))


@then('it dials the other node once more and no longer')
def check_last_dial(context):
    """Check the attempts since the node can be reached."""
    assert context.pool.dial.await_count == 1, context.pool.dial.await_count


@given(
    'the node "{own}" knows "{live}" and has not reached "{unreached}" for '
    '{age:d} s'
)
def build_unreached(context, own, live, unreached, age):
    """Build a discovery that has tried to reach nodes for some time."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    members = mock.Mock()
    members.own = build_member(own)
    members.table = decisions.MemberTable()
    members.table.merge([build_member(name) for name in live.split(',')])
    context.store = mock.Mock()
    context.store.commit = mock.AsyncMock(return_value=Ok(None))

    async def build():
        context.discovery = store_discovery.StoreDiscovery(
            members=members,
            pool=mock.Mock(),
            store=context.store,
            watch=store_availability.StoreAvailability(),
            epoch=store_epoch.StoreEpoch(),
            rng=random.Random(1),
            first_start=False,
        )
        for name in unreached.split(','):
            context.discovery.unreached[name] = border.NodeRow(
                host='127.0.0.1',
                port=1,
                data_centre='dc9'
                if name == 'far'
                else members.own.data_centre,
            )
            context.discovery.unreached_since[name] = context.loop.time() - age

    context.loop.run_until_complete(build())


@when('it looks for abandoned rows')
def remove_abandoned(context):
    """Let the node remove rows."""
    context.loop.run_until_complete(context.discovery.remove_abandoned_rows())


@then('it removes "{names}"')
def check_removed(context, names):
    """Check which rows were removed."""
    calls = context.store.commit.await_args_list
    removed = calls[0].kwargs['remove'] if calls else ['nothing']
    assert sorted(removed) == names.split(','), removed
