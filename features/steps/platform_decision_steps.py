"""Steps that test the decisions of a node on a platform."""

import itertools
import os
import pathlib
import random
import re
from unittest import mock

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import log_stream
from oleanderknot.tasks import upstream_chooser

SOURCE = pathlib.Path(__file__).resolve().parents[2] / 'oleanderknot'

# Folders that implement the platform's protocols.
PROTOCOL_FOLDERS = ('platform', 'standins')

# Names of headers, paths and fields in the platform's documentation.
WIRE_NAMES = re.compile(
    r'(?i:Request-Id|Deadline-Milliseconds|Response-Signature)'
    r'|(?i:Expected-Instance|Not-Executed|Calling-Service|Instance-Id)'
    r'|/v1/(readiness|instances|rows|blob)|rows-tx|rows-get|rows-feed'
    r'|rowVersion|waitMs|hasMore|resourceType|specification'
    r'|trafficSplit|targetLatency|maxAttempts|healthCheckPath'
    r'|connectionLimit|maxHeaderBytes|maxBodyBytes|headerTimeout|idleTimeout'
    r'|coldRemaining|heartbeatAddress|listenAddresses|applicationAddress'
    r'|localNode|internalPortRange|retryBudget|gracePeriod'
    r'|(?i:Server-Limit|Server-Leaving|Store-Era)'
)


@given('the routes {names} of "{host}"')
def build_routes(context, names, host):
    """Build a table of routes."""
    context.route_table = decisions.RouteTable(
        routes=[
            build_route(host, prefix, [('x', 1)])
            for prefix in re.findall('"([^"]+)"', names)
        ]
    )


def build_route(host, prefix, targets):
    """Build a route whose name is its prefix."""
    return model.Route(
        name=prefix,
        host=host,
        prefix=prefix,
        idempotent=True,
        targets=tuple(
            model.RouteTarget(service=service, weight=weight)
            for service, weight in targets
        ),
        timeout_s=1.0,
        latency_target_s=1.0,
        max_attempts=2,
        priority=1,
    )


@then('"{target}" of "{host}" takes the route "{name}"')
def check_route(context, target, host, name):
    """Check the route that a request takes."""
    route = context.route_table.find(host, target)
    assert (route.name if route else 'none') == name, route


@given('a route split 90 to "a", 10 to "b" and 0 to "c"')
def build_split(context):
    """Build a route with three targets."""
    context.route = build_route(
        'a.example', '/', [('a', 90), ('b', 10), ('c', 0)]
    )
    context.route_table = decisions.RouteTable(routes=[context.route])


@when('{count:d} requests are distributed')
def distribute(context, count):
    """Choose the targets of some requests."""
    context.chosen = [
        context.route_table.choose_target(context.route) for _ in range(count)
    ]


@then('"a" gets {first:d}, "b" gets {second:d} and "c" gets {third:d}')
def check_split(context, first, second, third):
    """Check how often each target was chosen."""
    found = [context.chosen.count(name) for name in 'abc']
    assert found == [first, second, third], found


@given(
    'a near upstream with {near:d} of 100 places in use and a far one '
    'with {far:d}'
)
def build_candidates(context, near, far):
    """Build two candidates."""
    context.candidates = [
        decisions.Candidate(
            instance=name,
            local=name == 'near',
            suspect=False,
            outstanding=0,
            in_flight=in_flight,
            limit=100,
            level=4.0,
        )
        for name, in_flight in (('near', near), ('far', far))
    ]


@then('the {name} one is chosen')
def check_choice(context, name):
    """Check the upstream chosen for a request of top priority."""
    choice = decisions.choose_balanced(
        context.candidates, priority=0.0, tried=(), draw=lambda count: 0
    )
    assert choice.instance == name, choice


@given(
    'an upstream that reported level {old:f} at time {then_s:d} and one that '
    'reported {new:f} at time {now_s:d}'
)
def apply_reports(context, old, then_s, new, now_s):
    """Apply load reports of two upstreams of a service."""
    context.view = decisions.LoadView()
    context.service_members = []
    for name, level, at in (('a', old, then_s), ('b', new, now_s)):
        member = model.Member(
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
        context.service_members.append(member)
        context.view.find(member)
        report = model.LoadReport(
            service='s', route='r', level=level, in_flight=0, limit=10
        )
        context.view.apply_reports(name, [report], float(at))


@then('the level of their service at time {now:d} is {level:f}')
def check_service_level(context, now, level):
    """Check the level of the service."""
    found = context.view.find_service_levels(
        's', 'r', context.service_members, float(now)
    )
    assert found == (level, level), found


@when(
    '{refused:d} of {count:d} calls of each window is refused for '
    '{windows:d} windows'
)
@when(
    '{refused:d} of {count:d} calls of each window are refused for '
    '{windows:d} windows'
)
def refuse_calls(context, refused, count, windows):
    """Simulate windows in which an upstream refuses some calls."""
    start = getattr(context, 'window_at', 0)
    for window in range(start, start + windows):
        for index in range(count):
            now = (window + index / count) / 10
            priority = 2 + index / count
            context.level.admit(priority, now)
            if index < refused:
                context.level.count_upstream_refusal(priority)
    context.window_at = start + windows
    context.level.advance(context.window_at / 10 + 0.001)


@when(
    'all {count:d} calls above number {priority:g} of each window are refused'
    ' for {windows:d} windows, and none of {admitted:d} below it'
)
def refuse_calls_above(context, count, priority, windows, admitted):
    """Simulate an upstream that serves only the calls that matter most."""
    for window in range(windows):
        for index in range(count + admitted):
            now = (window + index / (count + admitted)) / 10
            number = (
                priority * index / admitted
                if index < admitted
                else priority + (index - admitted) / count
            )
            context.level.admit(number, now)
            if number >= priority:
                context.level.count_upstream_refusal(number)
    context.level.advance(windows / 10 + 0.001)


@then("no source outside the adapter holds a name of the platform's wire")
def check_wire_names(context):
    """Check that only the protocol folders contain names of the platform."""
    found = [
        '%s: %s' % (path.relative_to(SOURCE), match.group(0))
        for path in SOURCE.rglob('*.py')
        if path.relative_to(SOURCE).parts[0] not in PROTOCOL_FOLDERS
        for match in [WIRE_NAMES.search(path.read_text())]
        if match
    ]
    assert not found, found


@given('a log stream into a pipe that nobody reads')
def open_log(context):
    """Open a pipe and a log stream into it."""
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    context.log = log_stream.LogStream(descriptor=writer)


@when('{count:d} lines are written')
def write_lines(context, count):
    """Write lines that the pipe and the stream cannot hold."""
    for _ in range(count):
        context.log.write('x' * 100 + '\n')


@then('all writes returned and dropped lines are counted')
def check_dropped(context):
    """Check that the stream is bounded and counts the lines it drops."""
    assert context.log.size <= log_stream.MAX_PENDING_BYTES
    assert context.log.dropped > 0


@given('a deployment of {count:d} nodes whose polls begin together')
def name_nodes(context, count):
    """Name the nodes and simulate their polls of an unchanged store."""
    context.names = ['node-%03d' % index for index in range(count)]
    context.ends = simulate_polls(context.names)


def simulate_polls(names, duration_s=120.0, begin_s=1000.3):
    """Return the times in seconds at which polls end, and their waits.

    All polls begin together at a time of the store's clock, and each node
    polls again at once.
    """
    ends = []
    for name in names:
        now = begin_s
        while now < begin_s + duration_s:
            wait = decisions.find_poll_wait_s(name, names, now)
            now += wait
            ends.append((now - begin_s, wait))
    return sorted(ends)


@when('the first node is gone')
def remove_first(context):
    """Remove the first node; a single one is replaced."""
    context.names = context.names[1:] or ['node-x']
    context.ends = simulate_polls(context.names)


@then('they poll an unchanged store at most {most:d} times in 60 s')
def check_poll_rate(context, most):
    """Count the polls in a minute, without those that began together."""
    polls = sum(60 < end <= 120 for end, _ in context.ends)
    assert polls <= most, polls


@then('no poll waits longer than {limit_s:d} s')
def check_longest_poll(context, limit_s):
    """Check the longest wait, which the store bounds."""
    longest = max(wait for _, wait in context.ends)
    assert longest <= limit_s, longest


@then('one of their polls ends in any {gap_s:d} s')
def check_poll_ends(context, gap_s):
    """Check the time between the ends of polls, from their common begin."""
    ends = [0.0] + [end for end, _ in context.ends if end <= 120]
    gap = max(later - earlier for earlier, later in itertools.pairwise(ends))
    assert gap <= gap_s, gap


@when('messages sent at these times of one clock arrive at these of another')
def observe_messages(context):
    """Estimate the delays of messages on one connection, in seconds."""
    delay = decisions.ArrivalDelay()
    context.delays = [
        (
            delay.observe(float(row['sent']), float(row['arrived'])),
            float(row['delay']),
        )
        for row in context.table
    ]


@then('their delays are as given')
def check_delays(context):
    """Compare the estimated delays with those of the table."""
    assert all(found == given for found, given in context.delays), (
        context.delays
    )


@given('a choice among {count:d} nodes of a service')
def build_chooser(context, count):
    """Build a chooser that counts how often a node is looked at."""
    members = decisions.MemberTable()
    members.merge(
        model.Member(
            instance='i%d' % number,
            incarnation=1,
            version=1,
            state=model.MemberState.TAKING,
            data_centre='dc1',
            host='127.0.0.1',
            peer_port=1,
            service='orders',
            slots=4,
        )
        for number in range(count)
    )
    context.looks = mock.Mock(return_value=False)
    context.node_count = count
    context.chooser = upstream_chooser.UpstreamChooser(
        identity=model.NodeIdentity(
            instance='own', incarnation=1, data_centre='dc1'
        ),
        members=members,
        policy=decisions.PolicyTable(),
        runner=mock.Mock(),
        rng=random.Random(1),
        is_node_unreachable=context.looks,
    )


@when('the levels of the service are asked for {times:d} times at once')
def ask_levels(context, times):
    """Ask within the time for which levels are cached."""
    with mock.patch('time.monotonic', return_value=100.0):
        for _ in range(times):
            context.chooser.find_service_levels('orders', '/order/')


@then('each node was looked at once')
def check_looks(context):
    """Check that the cache was asked before the nodes were listed."""
    assert context.looks.call_count == context.node_count, (
        context.looks.call_count
    )
