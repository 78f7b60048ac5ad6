"""Steps that test load balancing between partly failing upstreams."""

import asyncio
import collections
import heapq
import random
import types

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import dependency_levels
from oleanderknot.tasks import liveness_monitor
from oleanderknot.tasks import upstream_chooser

SLOTS = 30


@given(
    '{count:d} upstreams of which {bad:d} fail {share:d} in 100 calls at once'
)
def build_upstreams(context, count, bad, share):
    """Build the load of each upstream as one node knows it."""
    context.loads = {
        'up-%d' % number: decisions.InstanceLoad(limit=SLOTS)
        for number in range(count)
    }
    context.failing = {'up-%d' % number for number in range(bad)}
    context.fail_share = share / 100
    context.now = 0.0
    context.rng = random.Random(4)


def choose(context):
    """Choose an upstream as a node does."""
    candidates = [
        decisions.Candidate(
            instance=name,
            local=False,
            suspect=False,
            outstanding=load.outstanding,
            in_flight=0.0,
            limit=load.limit,
            level=decisions.MAX_LEVEL,
            failure_share=load.failures.estimate(context.now),
        )
        for name, load in context.loads.items()
    ]
    return decisions.choose_balanced(
        candidates, priority=0.0, tried=(), draw=context.rng.randrange
    ).instance


@when('{count:d} calls of {length_ms:d} ms are sent in {span_s:d} seconds')
def send_calls(context, count, length_ms, span_s):
    """Send calls at a constant rate; failing calls end at once."""
    ends = []
    start = context.now
    context.calls_per_upstream = collections.Counter()
    for number in range(count):
        context.now = start + number * span_s / count
        while ends and ends[0][0] <= context.now:
            _, name = heapq.heappop(ends)
            context.loads[name].outstanding -= 1
            context.loads[name].failures.record(False, context.now)
        name = choose(context)
        if context.now >= start + span_s / 2:
            context.calls_per_upstream[name] += 1
        load = context.loads[name]
        if (
            name in context.failing
            and context.rng.random() < context.fail_share
        ):
            load.failures.record(True, context.now)
            continue
        load.outstanding += 1
        heapq.heappush(ends, (context.now + length_ms / 1000, name))
    for _, name in ends:
        context.loads[name].outstanding -= 1
    context.now = start + span_s


@when('no upstream fails any more')
def stop_failures(context):
    """Set the failure rate of all upstreams to zero."""
    context.fail_share = 0.0


def find_share(context):
    """Return the percentage of calls sent to the failing upstreams."""
    bad = sum(context.calls_per_upstream[name] for name in context.failing)
    return 100 * bad / sum(context.calls_per_upstream.values())


@then(
    'at most {most:d} in 100 of the calls of the last 5 seconds went to the '
    'failing ones'
)
def check_most(context, most):
    """Check the maximum percentage of calls to the failing upstreams."""
    assert find_share(context) <= most, context.calls_per_upstream


@then(
    'at least {least:d} in 100 of the calls of the last 5 seconds went to '
    'the failing ones'
)
def check_least(context, least):
    """Check that recovered upstreams are used."""
    assert find_share(context) >= least, context.calls_per_upstream


@then(
    'each upstream got at least {least:d} in 100 of the calls of the last 5 '
    'seconds'
)
def check_each(context, least):
    """Check that every upstream receives its part of the calls."""
    total = sum(context.calls_per_upstream.values())
    for name in context.loads:
        assert 100 * context.calls_per_upstream[name] >= least * total, (
            context.calls_per_upstream
        )


@given('a share of failures after {count:d} failed calls')
def record_failures(context, count):
    """Record failed calls, a tenth of a second apart."""
    context.failures = decisions.FailureShare()
    for number in range(count):
        context.failures.record(True, 100 + number / 10)
    context.now = 100 + count / 10


@when('one call succeeds')
def record_success(context):
    """Record one successful call."""
    context.failures.record(False, context.now)


@then('the share is above {least:f}')
def check_share(context, least):
    """Check the estimated failure share."""
    assert context.failures.estimate(context.now) > least, context.failures


@then(
    'the levels of their service at time {now:f} are {reported:f} reported '
    'and {estimated:f} by now'
)
def check_levels(context, now, reported, estimated):
    """Check the reported level and the current estimate."""
    found = context.view.find_service_levels(
        's', 'r', context.service_members, now
    )
    assert [round(level, 3) for level in found] == [reported, estimated], found


@given('a node that knows two upstreams of a service, both open')
def build_chooser(context):
    """Build an upstream chooser that knows two upstreams."""
    context.unreachable = set()
    context.overdue = set()
    members = decisions.MemberTable()
    members.merge(
        model.Member(
            instance=name,
            incarnation=1,
            version=1,
            state=model.MemberState.TAKING,
            data_centre='dc1',
            host='127.0.0.1',
            peer_port=1,
            service='s',
            slots=10,
        )
        for name in ('a', 'b')
    )
    context.chooser = upstream_chooser.UpstreamChooser(
        identity=model.NodeIdentity(
            instance='own', incarnation=1, data_centre='dc1'
        ),
        members=members,
        policy=decisions.PolicyTable(),
        runner=types.SimpleNamespace(service='other'),
        rng=random.Random(1),
        is_node_unreachable=lambda member: (
            member.instance in context.unreachable
        ),
        is_node_overdue=lambda member: member.instance in context.overdue,
        pick=decisions.choose_balanced,
    )


@when('{count:d} of them cannot be reached')
def make_unreachable(context, count):
    """Mark upstreams as unreachable."""
    context.unreachable = set(['a', 'b'][:count])


@then('the node estimates the levels of the service as {level:f}')
def check_unreachable_levels(context, level):
    """Check the reported level and the current estimate without upstreams."""
    found = context.chooser.find_service_levels('s', 'r')
    assert found == (level, level), found


@given(
    'an upstream whose route needs a service that reported {reported:f} and '
    'may admit {estimated:f} by now'
)
def build_dependencies(context, reported, estimated):
    """Build the dependency levels of an upstream."""
    context.dependencies = dependency_levels.DependencyLevels()
    context.dependencies.find_service_levels = lambda service, route: (
        reported,
        estimated,
    )
    context.dependencies.calls.count('r', [('deep', 'inner')])


@when('{count:d} requests of class {number:d} arrive')
def check_requests(context, count, number):
    """Count the requests that the dependency levels admit."""
    rng = random.Random(7)
    context.admitted = 0
    for _ in range(count):
        call = model.Call(
            service='s',
            method='GET',
            path='/',
            headers=[],
            request_class=model.RequestClass(number),
            deadline=1.0,
            trace_id='%032x' % rng.getrandbits(128),
            span_id='r',
            route='r',
        )
        context.admitted += context.dependencies.check(call) is None


@then('{count:d} of them is let through')
def check_admitted(context, count):
    """Check the exact number of admitted requests."""
    assert context.admitted == count, context.admitted


@then('between {least:d} and {most:d} of them are let through')
def check_admitted_between(context, least, most):
    """Check the range of the number of admitted requests."""
    assert least <= context.admitted <= most, context.admitted


@when('{count:d} of them do not respond at the moment')
def make_overdue(context, count):
    """Mark upstreams as overdue."""
    context.overdue = set(['a', 'b'][:count])


@then('50 calls go to "{names}"')
def check_choices(context, names):
    """Check which upstreams are chosen."""
    found = set()
    for index in range(50):
        call = model.Call(
            service='s',
            method='GET',
            path='/',
            headers=[],
            request_class=model.RequestClass(0),
            deadline=1.0,
            trace_id='%032x' % index,
            span_id='r',
            route='r',
        )
        member = context.chooser.choose(call, set())
        context.chooser.loads.find(member).outstanding += 1
        found.add(member.instance)
    assert found == set(names.split()), found


@given('a connection that responded until 0 s and expects a response')
def watch_connection(context):
    """Play the monitor of a connection on a real event loop."""
    context.overdue_at = {}
    context.silent = []

    async def play():
        monitor = liveness_monitor.LivenessMonitor(
            awaits_response=lambda: True,
            send_probe=lambda: None,
            on_silent=lambda: context.silent.append(True),
        )
        monitor.expect_response()
        for at in (0.4, 0.7, 0.8):
            await asyncio.sleep(at - max(context.overdue_at, default=0.0))
            if at == 0.8:
                monitor.note_response()
            context.overdue_at[at] = monitor.is_overdue()
            if at == 0.7:
                context.silent_at_overdue = bool(context.silent)
        monitor.stop()

    asyncio.run(play())


@then('it is not overdue at {at:f} s')
@then('it is not overdue at {at:f} s, after a response')
def check_not_overdue(context, at):
    """Check the state at a moment."""
    assert not context.overdue_at[at], context.overdue_at


@then('it is overdue at {at:f} s, before it is found silent')
def check_overdue(context, at):
    """Check the state at a moment."""
    assert context.overdue_at[at], context.overdue_at
    assert not context.silent_at_overdue
