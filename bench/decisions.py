"""Time of each decision on the call path."""

import collections.abc
import functools
import itertools
import random
import time

from bench import figure
from oleanderknot import decisions
from oleanderknot import model

CALLS = 20000

# The fastest round is the cost of the decision itself; slower rounds include
# other work on the instance.
ROUNDS = 5

UPSTREAM_COUNTS = (3, 30, 300)
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
        ('service_level', time_service_level),
    ):
        values = {count: run(count) for count in UPSTREAM_COUNTS}
        figures += [
            build_figure('%s_%d' % (name, count), value)
            for count, value in values.items()
        ]
        low, high = UPSTREAM_COUNTS[0], UPSTREAM_COUNTS[-1]
        slope = (values[high] - values[low]) / (high - low)
        figures.append(
            build_figure(name + '_slope', slope, 'us a call and upstream')
        )
    return figures


def build_figure(
    name: str, value: float, unit: str = 'us a call'
) -> figure.Figure:
    """Build a figure of this benchmark."""
    return figure.Figure(
        name='decisions.' + name, value=round(value, 4), unit=unit
    )
