"""Steps that compare choices from kept lists with those from candidates."""

import asyncio
import collections
import random
import unittest.mock

from behave import given
from behave import then
from behave import when

from features.support import choice_events
from features.support import choice_world
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import liveness_monitor

MAX_EVENTS_PER_CALL = 4


@given(
    'two nodes with the same knowledge of {count:d} upstreams and seed '
    '{seed:d}'
)
def build_worlds(context, count, seed):
    """Build two nodes, one of which keeps lists."""
    context.event_rng = random.Random(seed)
    context.worlds = [
        choice_world.ChoiceWorld(seed=seed, listed=listed)
        for listed in (True, False)
    ]
    for world in context.worlds:
        for number in range(count):
            world.put_member(number)


@when(
    '{count:d} calls are sent between random events, from a list by one of '
    'them'
)
def send_calls(context, count):
    """Apply the same events to both nodes, and choose for the same calls."""
    rng = context.event_rng
    context.choices = []
    context.draws = []
    context.states = collections.Counter()
    clock = context.worlds[0]
    with unittest.mock.patch('time.monotonic', lambda: clock.now):
        for _ in range(count):
            for _ in range(rng.randrange(MAX_EVENTS_PER_CALL)):
                event = choice_events.draw_event(rng)
                for world in context.worlds:
                    event(world)
            call = choice_events.build_call(rng, clock.now)
            tried = frozenset()
            if rng.random() < 0.1:
                tried = frozenset(choice_events.draw_few(rng))
            count_states(context, call, tried)
            members = [world.choose(call, tried) for world in context.worlds]
            context.choices.append(
                [member and member.instance for member in members]
            )
            context.states['refused'] += members[1] is None
            context.draws.append(
                [world.rng.getstate() for world in context.worlds]
            )


def count_states(context, call, tried):
    """Count the kinds of state that a call meets, by the candidates."""
    world = context.worlds[1]
    candidates = world.chooser.list_candidates(call, world.now)
    shares = [item.failure_share for item in candidates]
    names = {item.instance for item in candidates}
    found = {
        'tried': tried & names,
        'suspected': any(item.suspect for item in candidates),
        'overdue': world.overdue & names,
        'unreachable': world.unreachable - names,
        'limited': any(item.level < 4.0 for item in candidates),
        'some failing': any(shares) and not all(shares),
        'all failing': shares and all(shares),
        'left out': len(candidates) < choice_events.UPSTREAMS,
        'own': choice_world.OWN in names,
        'calm': not tried
        and all(
            not item.suspect and item.level >= 4.0 and not item.failure_share
            for item in candidates
        ),
    }
    context.states.update([name for name, value in found.items() if value])


@then('both chose the same upstream for each call')
def check_choices(context):
    """Check all choices."""
    for index, (listed, plain) in enumerate(context.choices):
        assert listed == plain, (index, listed, plain)


@then('both have drawn the same random numbers')
def check_draws(context):
    """Check the state of the random number generators after each call."""
    for index, (listed, plain) in enumerate(context.draws):
        assert listed == plain, index


@then('each kind of state was met by at least {least:d} calls')
def check_states(context, least):
    """Check that the random states cover what the choice depends on."""
    assert len(context.states) == 11, context.states
    assert min(context.states.values()) >= least, context.states


@given('a node with a list of the upstreams "{names}"')
def build_list(context, names):
    """Build a node, and let it build its list."""
    context.world = choice_world.ChoiceWorld(seed=1, listed=True)
    for name in names.split():
        context.world.put_member(int(name[1:]))
    context.found = find_list(context)


def find_list(context):
    """Return the list and the suspects as a call gets them."""
    return context.world.chooser.lists.find(choice_world.SERVICE)


@then('the next call uses the same list')
def check_kept(context):
    """Check that a list is not built for each call."""
    assert find_list(context)[0] is context.found[0]


@then('the list has the upstreams "{names}" and the suspects "{suspects}"')
@then('the list has the upstreams "{names}" and the suspects ""')
def check_list(context, names, suspects=''):
    """Check the list after a change, and that its loads are those in use."""
    context.found = find_list(context)
    listed, found_suspects = context.found
    assert [item.instance for item in listed.upstreams] == names.split()
    assert found_suspects == set(suspects.split()), found_suspects
    for item in listed.upstreams:
        assert item.load is context.world.chooser.loads.loads[item.instance]
        assert item.member is context.world.members.members[item.instance]


@when('the members suspect i2')
def suspect_member(context):
    """Merge the record of a suspected instance."""
    context.world.put_member(2, state=model.MemberState.SUSPECT)


@when('i2 leaves')
def leave(context):
    """Merge the record of an instance that leaves."""
    context.world.put_member(2, state=model.MemberState.LEAVING)


@when('i2 moves to another service')
def move(context):
    """Merge a record with another service."""
    context.world.put_member(2, service=choice_world.OTHER_SERVICE)


@when('the record of i2 is removed')
def remove(context):
    """Remove a record."""
    members = context.world.members
    members.remove(members.members['i2'])


@when('i4 joins')
def join(context):
    """Merge the record of a new instance."""
    context.world.put_member(4)


@when('the policy gives i2 no work')
def block(context):
    """Change the policy."""
    context.world.put_policy('i2', False)


@when('i2 cannot be reached')
def lose(context):
    """Mark an instance as unreachable."""
    context.world.unreachable = {'i2'}


@when('i2 could not be reached for one call')
def lose_once(context):
    """Mark an instance as unreachable for one call."""
    context.world.unreachable = {'i2'}
    listed, _ = find_list(context)
    assert len(listed.upstreams) == 2
    context.world.unreachable = set()


@when('the load of i2 is discarded')
def discard_load(context):
    """Ask for the load with the record of another service, then again."""
    loads = context.world.chooser.loads
    member = context.world.members.members['i2']
    context.world.put_member(2, service=choice_world.OTHER_SERVICE)
    other = context.world.members.members['i2']
    context.world.put_member(2)
    find_list(context)
    loads.find(other)
    assert loads.loads['i2'].service != member.service


@when('i2 is overdue')
def make_overdue(context):
    """Mark an instance as overdue."""
    context.world.overdue = {'i2'}


@given(
    'an upstream that failed {failures:d} calls and reported level {level:f} '
    'at time 100'
)
def fail_upstream(context, failures, level):
    """Record failures and a level at an upstream."""
    context.load = decisions.InstanceLoad(limit=10)
    for _ in range(failures):
        context.load.record_outcome(True, 100.0)
    context.load.apply_report(
        model.LoadReport(
            service='s', route='r', level=level, in_flight=0, limit=10
        ),
        100.0,
    )


@then('its share of failures is 0 when failures are no longer looked at')
def check_share_end(context):
    """Check the share at the time from which on it is not read."""
    assert context.load.failures.estimate(100.0) > 0
    until = context.load.group.failing_until
    assert context.load.failures.estimate(until) == 0.0, until


@then('its level is 4 when levels are no longer looked at')
def check_level_end(context):
    """Check the level at the time from which on it is not read."""
    assert context.load.find_reported_level('r', 100.0) < 4.0
    until = context.load.group.limited_until
    assert context.load.find_reported_level('r', until) == 4.0, until


@given('a monitor of a connection that responded until 0 s')
def watch_connection(context):
    """Play the monitor of a connection on a real event loop."""
    context.unanswered_at = {}

    async def play():
        unanswered = set()
        monitor = liveness_monitor.LivenessMonitor(
            awaits_response=lambda: True,
            send_probe=lambda: None,
            on_silent=lambda: None,
            unanswered=unanswered,
        )
        monitor.expect_response()
        waited_s = 0.0
        for at in (0.3, 0.7, 0.8, 1.5, 1.6):
            await asyncio.sleep(at - waited_s)
            waited_s = at
            if at == 0.8:
                monitor.note_response()
            context.unanswered_at[at] = monitor in unanswered
            if at == 1.5:
                monitor.stop()

    asyncio.run(play())


@then('it counts as unanswered at {late:f} s, but not at {early:f} s')
def check_unanswered(context, late, early):
    """Check the states before and after the probe."""
    assert context.unanswered_at[late], context.unanswered_at
    assert not context.unanswered_at[early], context.unanswered_at


@then('not after a response at {at:f} s')
def check_answered(context, at):
    """Check the state after a response."""
    assert not context.unanswered_at[at], context.unanswered_at


@then('not after the connection was closed with another unanswered probe')
def check_stopped(context):
    """Check the states before and after the end of the checks."""
    assert context.unanswered_at[1.5], context.unanswered_at
    assert not context.unanswered_at[1.6], context.unanswered_at
