"""Steps that test the decisions of the membership protocol."""

import dataclasses
import itertools
import random

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model

STATES = {state.name.lower(): state for state in model.MemberState}


def build_member(
    name, data_centre='dc1', state=model.MemberState.TAKING, **fields
):
    """Build a member record with default fields."""
    return model.Member(
        **{
            'instance': name,
            'incarnation': 1,
            'version': 1,
            'state': state,
            'data_centre': data_centre,
            'host': '10.0.0.1',
            'peer_port': 1000 + sum(name.encode()),
            **fields,
        }
    )


def split_names(text):
    """Split a list of quoted names."""
    return [name.strip(' "') for name in text.split(',') if name.strip(' "')]


@given('a probe schedule of "{own}" that knows {names}')
def build_schedule(context, own, names):
    """Build a probe schedule and its member table."""
    context.now = 100.0
    context.rng = random.Random(11)
    context.member_table = decisions.MemberTable()
    context.member_table.merge(
        [build_member(own), *map(build_member, split_names(names))]
    )
    context.schedule = decisions.ProbeSchedule(
        own=own, data_centre='dc1', draw=context.rng.randrange
    )
    context.steps = []


@given('the schedule draws with seed {seed:d}')
def seed_schedule(context, seed):
    """Build the schedule anew with another seed."""
    context.schedule = decisions.ProbeSchedule(
        own=context.schedule.own,
        data_centre=context.schedule.data_centre,
        draw=random.Random(seed).randrange,
    )


@given('the schedule knows "{name}" of data centre "{data_centre}"')
def add_remote_member(context, name, data_centre):
    """Add a member of another data centre."""
    context.member_table.merge([build_member(name, data_centre)])


@given('the schedule knows the dead "{name}" of data centre "{data_centre}"')
def add_dead_member(context, name, data_centre):
    """Add a dead member of another data centre."""
    dead = build_member(name, data_centre, model.MemberState.DEAD)
    context.member_table.merge([dead])


def run_schedule(context, seconds, answer):
    """Advance the schedule on a simulated clock to each due time."""
    end = context.now + seconds
    while context.now < end:
        for step in context.schedule.advance(
            context.member_table, context.now
        ):
            context.steps.append((context.now, step.action, step.instance))
            if answer and step.action is decisions.ProbeAction.PROBE:
                context.schedule.note_answer(step.instance)
        context.now = context.schedule.next_due


def list_times(context, action, instance):
    """Return the times of steps about a member."""
    return [
        time
        for time, done, name in context.steps
        if done is action and name == instance
    ]


@when('no probe is answered for {seconds:g} s')
def run_unanswered(context, seconds):
    """Run the schedule while no member answers."""
    run_schedule(context, seconds, False)
    context.first_probed = context.steps[0][2]


@when('each probe is answered for {seconds:g} s')
def run_answered(context, seconds):
    """Run the schedule while all members answer."""
    run_schedule(context, seconds, True)


@when('a probe starts and the node is stopped for {seconds:g} s')
def stop_node(context, seconds):
    """Advance the clock while a probe is outstanding."""
    run_schedule(context, 0.2, False)
    context.now += seconds
    run_schedule(context, 0.4, False)


@then('"{first}" is probed every {limit_s:d} s at least, and "{second}" too')
def check_probe_gaps(context, first, limit_s, second):
    """Check the longest time without a probe."""
    for name in (first, second):
        times = list_times(context, decisions.ProbeAction.PROBE, name)
        times = [100.0, *times, context.now]
        gaps = [
            later - earlier for earlier, later in itertools.pairwise(times)
        ]
        assert max(gaps) <= limit_s, (name, gaps)


@then('{least:d} to {most:d} probes went to another data centre')
def check_remote_probes(context, least, most):
    """Check the number of probes of remote members."""
    remote = {
        member.instance
        for member in context.member_table.list_live()
        if member.data_centre != 'dc1'
    }
    count = sum(
        action is decisions.ProbeAction.PROBE and name in remote
        for _, action, name in context.steps
    )
    assert least <= count <= most, count


@then('the first probed member is asked for by {count:d} others {s:g} s later')
def check_asked(context, count, s):
    """Check the indirect probes."""
    action = decisions.ProbeAction.ASK_OTHERS
    times = list_times(context, action, context.first_probed)
    assert times[0] == 100.0 + s, times
    helpers = context.schedule.choose_indirect_probers(
        context.member_table, context.first_probed
    )
    assert len(set(helpers) - {context.first_probed, 'a'}) == count, helpers


@then('it is suspected {seconds:g} s after its probe')
def check_suspected(context, seconds):
    """Check the time of the suspicion."""
    times = list_times(
        context, decisions.ProbeAction.SUSPECT, context.first_probed
    )
    assert times[0] == 100.0 + seconds, times


@then('it is declared dead {seconds:g} s after its probe')
def check_declared(context, seconds):
    """Check when the member was declared dead."""
    action = decisions.ProbeAction.DECLARE_DEAD
    times = list_times(context, action, context.first_probed)
    assert times == [100.0 + seconds], times


@then('each of the {count:d} members was probed {times:d} times')
def check_probes(context, count, times):
    """Check that all members are probed equally often."""
    probed = [
        name
        for _, action, name in context.steps
        if action is decisions.ProbeAction.PROBE
    ]
    assert len(set(probed)) == count, probed
    for name in set(probed):
        assert probed.count(name) == times, probed


@then('no member was suspected')
def check_none_suspected(context):
    """Check that no member was suspected."""
    for _, action, name in context.steps:
        assert action is not decisions.ProbeAction.SUSPECT, name


@then('"{helper}" is always among the helpers for "{target}"')
def check_helper(context, helper, target):
    """Check the choice of members for indirect probes."""
    for _ in range(20):
        chosen = context.schedule.choose_indirect_probers(
            context.member_table, target
        )
        assert helper in chosen and target not in chosen, chosen
        assert len(chosen) == 3, chosen


@then('"{name}" was contacted at least {count:d} times')
def check_contacted(context, name, count):
    """Check that a dead member is contacted repeatedly."""
    times = list_times(context, decisions.ProbeAction.CONTACT, name)
    assert len(times) >= count, len(times)


@given('the own record with incarnation {incarnation:d} and version {own:d}')
def build_own(context, incarnation, own):
    """Build the own record."""
    context.own_record = build_member(
        'a', incarnation=incarnation, version=own
    )


@when(
    'a claim "{state}" with incarnation {incarnation:d}'
    ' and version {version:d} arrives'
)
def refute_claim(context, state, incarnation, version):
    """Refute a received record of the own instance."""
    context.refutation = decisions.refute(
        context.own_record,
        build_member(
            'a',
            state=STATES[state],
            incarnation=incarnation,
            version=version,
        ),
    )


@when('a record with incarnation {incarnation:d} at {address} port arrives')
def outbid_record(context, incarnation, address):
    """Outbid a received record of the own instance."""
    own = context.own_record
    port = own.peer_port + (address == 'another')
    context.successor = decisions.outbid(
        own,
        dataclasses.replace(own, incarnation=incarnation, peer_port=port),
    )


@then('the own incarnation is {incarnation:d}')
def check_incarnation(context, incarnation):
    """Check the record that outbids; none leaves the own one."""
    found = (context.successor or context.own_record).incarnation
    assert found == incarnation, context.successor


@then('the refutation has version {version:d}')
def check_refutation(context, version):
    """Check the refutation; version 0 stands for none."""
    found = context.refutation.version if context.refutation else 0
    assert found == version, context.refutation


@given(
    'a table with live members "{one}", "{two}" of "dc1" and "{far}" of "dc2"'
)
def build_table(context, one, two, far):
    """Build a table."""
    context.now = 0.0
    context.member_table = decisions.MemberTable()
    context.member_table.merge(
        [build_member(one), build_member(two), build_member(far, 'dc2')]
    )


@when('a node of "{sender}" says that {names} are dead')
def receive_death_claims(context, sender, names):
    """Split the claims of another node that members are dead."""
    claims = [
        dataclasses.replace(
            context.member_table.members[name], state=model.MemberState.DEAD
        )
        for name in split_names(names)
    ]
    context.claim_parts = decisions.split_claims(
        claims,
        data_centre='dc1',
        sender_data_centre=sender,
        table=context.member_table,
    )


@then('"{merged}" is merged and "{forwarded}" is told')
def check_split(context, merged, forwarded):
    """Check which claims are merged and which are reported to the member."""
    found = [[item.instance for item in part] for part in context.claim_parts]
    assert found == [split_names(merged), split_names(forwarded)], found


@then('"{merged}" is merged and "" is told')
def check_split_all(context, merged):
    """Check that all claims are merged."""
    check_split(context, merged, '')


@given('{count:d} changes among {nodes:d} nodes')
def build_changes(context, count, nodes):
    """Add member changes to the gossip queue."""
    context.gossip_queue = decisions.GossipQueue()
    context.nodes = nodes
    for number in range(count):
        context.gossip_queue.add('node-%d' % number)


@when('pings are sent until nothing is left to spread')
def send_pings(context):
    """Collect the batch of changes of each ping."""
    context.batches = []
    while chosen := context.gossip_queue.next_batch(context.nodes):
        context.batches.append(chosen)


@then('no ping carried more than {limit:d} changes')
def check_pings(context, limit):
    """Check the maximum number of changes in a ping."""
    assert max(map(len, context.batches)) == limit


@then('each change was carried {times:d} times')
def check_repetitions(context, times):
    """Check how often each change was sent."""
    names = [name for ping in context.batches for name in ping]
    assert {names.count(name) for name in set(names)} == {times}


@given('two tables of {count:d} members with {differ:d} differences each way')
def build_tables(context, count, differ):
    """Build two tables with missing and outdated records."""
    records = [build_member('node-%d' % number) for number in range(count)]
    newer = [dataclasses.replace(item, version=2) for item in records]
    context.tables = [decisions.MemberTable(), decisions.MemberTable()]
    first, second = context.tables
    first.merge(records[: count - 3])
    second.merge(records[3:])
    first.merge(newer[10 : 10 + differ - 3])
    second.merge(newer[30 : 30 + differ - 3])


@when('they exchange versions both ways')
def exchange_versions(context):
    """Exchange versions as two nodes do."""
    first, second = context.tables
    versions = [
        decisions.build_version(item) for item in first.list_data_centre('dc1')
    ]
    send, want = decisions.compare_versions(
        second, 'dc1', versions, whole=True
    )
    back, rest = decisions.compare_versions(first, 'dc1', want, whole=False)
    assert not rest, rest
    first.merge(send)
    second.merge(back)
    context.sent = len(send) + len(back)


@then('both tables hold the same newest records')
def check_tables_equal(context):
    """Check that the tables hold the same records and hashes."""
    first, second = context.tables
    assert first.members == second.members
    assert first.hashes == second.hashes and len(first.members) == 100
    assert sum(item.version == 2 for item in first.members.values()) == 8


@then('only the {count:d} records that differed were sent')
def check_sent(context, count):
    """Check the number of records sent in the exchange."""
    assert context.sent == count, context.sent


@then(
    'a data centre of {members:d} members exchanges versions'
    ' every {seconds:g} s'
)
def check_exchange_interval(context, members, seconds):
    """Check the minimum interval between exchanges."""
    limiter = decisions.ExchangeLimiter()
    assert limiter.try_acquire('dc1', members, 10.0)
    assert not limiter.try_acquire('dc1', members, 10.0 + seconds - 0.1)
    assert limiter.try_acquire('dc2', members, 10.1)
    assert limiter.try_acquire('dc1', members, 10.0 + seconds + 0.1)


@when('the record of "{name}" is marked dead')
def declare_dead(context, name):
    """Mark a member as dead."""
    record = context.member_table.members[name]
    context.old_record = record
    context.member_table.merge(
        [dataclasses.replace(record, state=model.MemberState.DEAD)]
    )
    context.member_table.remove_expired(context.now)


@when('the records get {days:d} days older')
def advance_days(context, days):
    """Advance the clock and remove expired records."""
    context.now += days * 86400
    context.member_table.remove_expired(context.now)


@when('an old copy of "{name}" arrives')
def merge_old_record(context, name):
    """Merge a record from before the death."""
    assert context.old_record.instance == name
    context.member_table.merge([context.old_record])


@when('"{name}" starts again with a new incarnation')
def merge_next_incarnation(context, name):
    """Merge the record of the next incarnation."""
    context.member_table.merge(
        [dataclasses.replace(context.old_record, incarnation=2)]
    )


@then('the record of "{name}" is "{state}"')
def check_state(context, name, state):
    """Check the state of a member."""
    assert context.member_table.members[name].state is STATES[state]


@then('the record of "{name}" is forgotten')
def check_removed(context, name):
    """Check that a record has been removed."""
    assert name not in context.member_table.members
    assert not context.member_table.ended_since


@given('two tables that took the same records in another order')
def build_reordered_tables(context):
    """Build two tables from the same records in different orders."""
    records = [
        build_member('node-%d' % number, slots=number) for number in range(50)
    ]
    records += [dataclasses.replace(item, version=2) for item in records[:9]]
    records.append(
        dataclasses.replace(
            records[20], version=3, state=model.MemberState.DEAD
        )
    )
    context.tables = [decisions.MemberTable(), decisions.MemberTable()]
    context.tables[0].merge(records)
    random.Random(3).shuffle(records)
    context.tables[1].merge(records)


@when('one of them forgets its dead records')
def expire_dead(context):
    """Remove the expired records of one table."""
    context.tables[0].remove_expired(0.0)
    context.tables[0].remove_expired(decisions.ENDED_RETENTION_S)
    assert len(context.tables[0].members) == 49


@then('their hashes are equal')
def check_hashes(context):
    """Check that the hashes of both tables are equal."""
    assert context.tables[0].hashes == context.tables[1].hashes
    assert context.tables[0].hashes


@given('a data centre with {live:d} live members')
def build_data_centre(context, live):
    """Build a table of live members."""
    context.member_table = decisions.MemberTable()
    context.member_table.merge(
        build_member('node-%d' % number, peer_port=2000 + number)
        for number in range(live)
    )


@given('a row with {kept:d} of them and {gone:d} others')
def build_row(context, kept, gone):
    """Build the addresses of a stored peer row."""
    context.peer_row = [
        '10.0.0.1:%d' % (2000 + number) for number in range(kept)
    ]
    context.peer_row += [
        '10.0.0.1:%d' % (1 + number) for number in range(gone)
    ]


@then('the row planned has {count:d} addresses')
def check_row(context, count):
    """Check the planned row; 0 stands for a row that needs no change."""
    planned = decisions.plan_peer_row(
        context.peer_row,
        table=context.member_table,
        data_centre='dc1',
        draw=random.Random(5).randrange,
    )
    assert len(planned or ()) == count, planned


@given(
    'a node that saw "{one}" fail by "{rule}" and "{other}" by "{other_rule}"'
)
def note_failures(context, one, rule, other, other_rule):
    """Record failed calls to two instances."""
    context.suspicions = decisions.LocalSuspicion()
    for name, text in ((one, rule), (other, other_rule)):
        refusal = model.Refusal(
            verdict=model.Verdict.NOT_RUN,
            rule=model.Rule(text),
            service='orders',
            detail='',
        )
        context.suspicions.note_failure(name, refusal, 50.0)


@then('"{name}" is avoided after {early:g} s and not after {late:g} s')
def check_avoided(context, name, early, late):
    """Check how long an instance is avoided."""
    assert context.suspicions.is_suspected(name, 50.0 + early)
    assert not context.suspicions.is_suspected(name, 50.0 + late)


@then('"{name}" is not avoided')
def check_not_avoided(context, name):
    """Check that an instance is not suspected for a refusal by a node."""
    assert not context.suspicions.is_suspected(name, 50.0)


@then('"{name}" is not avoided after an answer')
def check_answered(context, name):
    """Check that an answer clears the suspicion."""
    context.suspicions.note_answer(name)
    assert not context.suspicions.is_suspected(name, 50.0)
