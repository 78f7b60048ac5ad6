"""Time of each decision on the call path."""

import collections.abc
import functools
import itertools
import random
import time

from bench import caller_decisions
from bench import figure
from bench import load_views
from oleanderknot import decisions
from oleanderknot import model

CALLS = 20000

# The fastest round is the cost of the decision itself; slower rounds include
# other work on the instance.
ROUNDS = 5

UPSTREAM_COUNTS = (3, 30, 300)
ORGANISATION_COUNTS = (10, 1000, 100000)
NODE_COUNTS = (13, 90, 1200)
TRACE_ID = '0123456789abcdef0123456789abcdef'


def time_calls(
    function: collections.abc.Callable[[int], object], calls: int = CALLS
) -> float:
    """Return the time of one function call in microseconds.

    Args:
        function: Function to time; takes the index of the call.
        calls: Number of calls per round.

    Returns:
        The mean time of the fastest round.
    """
    best = float('inf')
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for number in range(calls):
            function(number)
        taken = time.perf_counter() - started
        best = min(best, taken / calls * 1e6)
    return best


def build_candidates(count: int) -> list[decisions.Candidate]:
    """Build candidate upstreams that all admit a call."""
    rng = random.Random(1)
    return [
        decisions.Candidate(
            instance='catalogue-%d' % number,
            local=True,
            suspect=False,
            outstanding=rng.randrange(10),
            in_flight=rng.randrange(50),
            limit=70,
            level=4.0,
        )
        for number in range(count)
    ]


def time_choice(count: int) -> float:
    """Time the selection of an upstream."""
    candidates = build_candidates(count)
    draw = random.Random(1).randrange

    def choose(number: int) -> object:
        return decisions.choose_local_first(
            candidates, priority=1.5, tried=(), draw=draw
        )

    return time_calls(choose, CALLS // count)


def time_balanced_choice(count: int) -> float:
    """Time the selection of an upstream on a platform."""
    candidates = build_candidates(count)
    draw = random.Random(1).randrange

    def choose(number: int) -> object:
        return decisions.choose_balanced(
            candidates, priority=1.5, tried=(), draw=draw
        )

    return time_calls(choose, CALLS // count)


def time_candidates(count: int) -> float:
    """Time the candidates of a choice, from reports of all upstreams."""
    view = load_views.build_view(count)
    for number, instance in enumerate(view.loads):
        view.apply_reports(instance, [load_views.build_report(number)], 0.0)

    def build(number: int) -> object:
        now = number / 600
        return [
            decisions.build_candidate(
                load,
                now,
                instance=instance,
                local=True,
                suspect=False,
                level=load.find_reported_level('/', now),
            )
            for instance, load in view.loads.items()
        ]

    return time_calls(build, CALLS // count)


def time_kept_choice(count: int) -> float:
    """Time a choice from a kept list, with reports of all upstreams."""
    view = load_views.build_view(count)
    listed = load_views.build_list(view, count)
    for number, instance in enumerate(view.loads):
        view.apply_reports(instance, [load_views.build_report(number)], 0.0)
    draw = random.Random(1).randrange

    def choose(number: int) -> object:
        now = number / 600
        return decisions.choose_listed(
            listed.list_admitting(
                route='/', priority=1.5, own_level=4.0, now=now
            ),
            groups=listed.groups,
            tried=(),
            suspects=(),
            now=now,
            draw=draw,
        )

    return time_calls(choose, CALLS // count)


def time_report(count: int) -> float:
    """Time all decisions about the load report of one answer."""
    view = load_views.build_view(count)
    instances = list(view.loads)
    reports = [load_views.build_report(number) for number in range(50)]
    meter = decisions.SpeedMeter(start=1)

    def pass_answer(number: int) -> None:
        now = number / 600
        instance = instances[number % count]
        load = view.loads[instance]
        load.take_turn()
        meter.count('/', 0.02)
        meter.find('/')
        view.apply_reports(instance, [reports[number % 50]], now)
        view.record_call_time(instance, load_views.CALL, 0.02)

    return time_calls(pass_answer)


def time_level() -> float:
    """Time the admission level at 600 calls per second."""
    level = decisions.AdmissionLevel(now=0.0)
    state = {'now': 0.0}

    def admit(number: int) -> object:
        state['now'] += 1 / 600
        level.update_queue_delay(0.01, 0.01)
        return level.admit(1.0 + number % 97 / 97, state['now'])

    return time_calls(admit)


def time_limit() -> float:
    """Time the start and the end of a call in the concurrency limit."""
    limit = decisions.ConcurrencyLimit(slots=25, now=0.0, warm=True)
    state = {'now': 0.0}

    def pass_call(number: int) -> None:
        state['now'] += 1 / 600
        cohort = limit.start(1 + number % 25, state['now'])
        limit.finish(cohort, state['now'], own_time_s=0.02)

    return time_calls(pass_call)


def time_queue() -> float:
    """Time a push and a pop on a queue that holds 50 other calls."""
    queue = decisions.AdmissionQueue(capacity=60)

    def push(number: int) -> None:
        queue.push(
            decisions.QueuedCall(
                request_class=model.RequestClass(number % 4),
                depth=number % 3,
                arrived_at=0.0,
                deadline=60.0,
                expected_s=0.02,
            ),
            0.0,
        )

    for number in range(50):
        push(number)

    def pass_call(number: int) -> None:
        push(number)
        queue.pop(0.0)

    return time_calls(pass_call)


def time_admission() -> float:
    """Time the admission decisions for a call that starts immediately."""
    level = decisions.AdmissionLevel(now=0.0)
    limit = decisions.ConcurrencyLimit(slots=25, now=0.0, warm=True)
    times = decisions.ServiceTimes()
    state = {'now': 0.0}

    def pass_call(number: int) -> None:
        state['now'] += 1 / 600
        now = state['now']
        priority = decisions.compute_priority(
            model.RequestClass.BROWSING, TRACE_ID
        )
        level.admit(priority, now)
        times.expect('GET', '/', now)
        cohort = limit.start(1, now)
        limit.finish(cohort, now, own_time_s=0.02)
        times.count('GET', '/', 0.02, now)

    return time_calls(pass_call)


def time_service_level(count: int) -> float:
    """Time the service levels with load reports from all upstreams."""
    view = decisions.LoadView()
    members = [
        model.Member(
            instance='inventory-%d' % number,
            incarnation=1,
            version=1,
            state=model.MemberState.TAKING,
            data_centre='dc1',
            host='127.0.0.1',
            peer_port=1,
        )
        for number in range(count)
    ]
    report = model.LoadReport(
        service='inventory', route='/', level=1.5, in_flight=1, limit=25
    )
    for member in members:
        view.find(member)
        view.apply_reports(member.instance, [report], 0.0)

    clock = (number / 600 for number in itertools.count())

    def find(number: int) -> float:
        # The clock advances as on a node with 600 calls per second.
        return view.find_service_levels('inventory', '/', members, next(clock))

    return time_calls(find, CALLS // 10)


def time_quota_held(count: int) -> float:
    """Time a request that finds a token at its first node."""
    clients = {str(number): decisions.QuotaClient() for number in range(count)}
    names = random.Random(1).choices(list(clients), k=CALLS)
    for client in clients.values():
        client.held.add(ROUNDS * CALLS, 1e9)
    clock = (number / 1200 for number in itertools.count())

    def take(number: int) -> None:
        now = next(clock)
        client = clients[names[number]]
        client.count(now)
        client.held.take(now)
        client.find_wanted(now, 0, 1.0)

    return time_calls(take)


def time_quota_request(count: int) -> float:
    """Time the decisions for a request whose token the home issues alone."""
    clients = {str(number): decisions.QuotaClient() for number in range(count)}
    issuers = {
        name: decisions.QuotaIssuer(rate=1e6, burst=1e6, shares=3)
        for name in clients
    }
    names = random.Random(1).choices(list(clients), k=CALLS)
    clock = (number / 1200 for number in itertools.count(1))

    def request(number: int) -> None:
        now = next(clock)
        client = clients[names[number]]
        issuer = issuers[names[number]]
        client.count(now)
        client.held.take(now)
        issuer.stock.refill(now, 0.0, 1e9)
        tokens, lifetime_s = issuer.issue(client.find_wanted(now, 1, 0.1), now)
        client.held.add(tokens, now + lifetime_s)
        client.held.take(now)

    return time_calls(request)


def time_quota_order(count: int) -> float:
    """Time the order of homes, computed once for each organisation."""
    instances = ['i-%d' % number for number in range(count)]

    def order(number: int) -> object:
        return decisions.order_homes('o-%d' % number, instances, 8)

    return time_calls(order, max(10, CALLS // 10 // count))


def time_quota_support(count: int) -> float:
    """Time what a node decides each second about its support."""
    names = ['i-%d' % number for number in range(count)]
    quorum = decisions.QuotaQuorum(own=names[0], now=0.0, first_start=True)
    quorum.update_known(names, (), (), 0.0)
    for name in names[1:]:
        quorum.note_answer(name, 0.0, names[1:3], ())

    def advance(number: int) -> None:
        quorum.update_known(names, (), (), 0.5)
        quorum.advance(names[1:3], 0.5)

    return time_calls(advance, max(10, CALLS // 10 // count))


def time_memory(count: int) -> float:
    """Time the four changes of a lease for one request, of many leases."""
    memory = decisions.NodeMemory(max_bytes=1 << 40)
    leases = [memory.lease(decisions.HolderKind.CLIENT) for _ in range(count)]
    for lease in leases:
        lease.resize(8192)

    def pass_request(number: int) -> None:
        lease = leases[number % count]
        lease.resize(10000)
        lease.resize(14000)
        lease.resize(18000)
        lease.resize(8192)

    return time_calls(pass_request)


def measure() -> list[figure.Figure]:
    """Measure the time of all decisions."""
    single = {
        'level': time_level,
        'limit': time_limit,
        'queue': time_queue,
        'admission': time_admission,
        'rank': functools.partial(
            time_calls,
            lambda number: decisions.compute_priority(
                model.RequestClass.ORDER, TRACE_ID
            ),
        ),
    }
    figures = [build_figure(name, run()) for name, run in single.items()]
    for name, run in (
        ('choice', time_choice),
        ('balanced_choice', time_balanced_choice),
        ('candidates', time_candidates),
        ('kept_choice', time_kept_choice),
        ('load_report', time_report),
        ('memory', time_memory),
        ('service_level', time_service_level),
    ):
        figures += measure_slope(name, run, UPSTREAM_COUNTS, 'upstream')
    for name, run in (
        ('quota_held', time_quota_held),
        ('quota_request', time_quota_request),
    ):
        figures += measure_slope(
            name, run, ORGANISATION_COUNTS, 'organisation'
        )
    for name, run in (
        ('quota_order', time_quota_order),
        ('quota_support', time_quota_support),
    ):
        figures += measure_slope(name, run, NODE_COUNTS, 'node')
    for name, run in caller_decisions.TIMERS.items():
        figures += measure_slope(
            name,
            functools.partial(run, time_calls),
            caller_decisions.ORGANISATION_COUNTS,
            'organisation',
        )
    return figures


def measure_slope(
    name: str,
    run: collections.abc.Callable[[int], float],
    counts: tuple[int, ...],
    unit: str,
) -> list[figure.Figure]:
    """Measure a decision for several numbers of units, and its slope."""
    values = {count: run(count) for count in counts}
    low, high = counts[0], counts[-1]
    slope = (values[high] - values[low]) / (high - low)
    return [
        *(
            build_figure('%s_%d' % (name, count), value)
            for count, value in values.items()
        ),
        build_figure(name + '_slope', slope, 'us a call and ' + unit),
    ]


def build_figure(
    name: str, value: float, unit: str = 'us a call'
) -> figure.Figure:
    """Build a figure of this benchmark."""
    return figure.Figure(
        name='decisions.' + name, value=round(value, 6), unit=unit
    )
