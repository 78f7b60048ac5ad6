"""Goodput and recovery in a surge with a slow service and client retries.

A chain of real processes, catalogue -> orders -> inventory with two instances
each, runs once with overload control and once without.
"""

import bisect
import collections.abc
import dataclasses
import os

from bench import figure
from bench import load_generator
from bench import load_kind
from bench import load_outcome
from features.support import http
from features.support import system as systems

SEEDS = (1, 2, 3)
SERVICES = ('catalogue', 'orders', 'inventory')
INSTANCES = 2

# Slots per instance. Inventory has its current size of 25.
SLOTS = {'catalogue': 70, 'orders': 75, 'inventory': 25}
NORMAL_DELAY_MS = 80
SLOW_DELAY_MS = 400

# Requests per second that the slowest service can serve while it is slow.
CAPACITY = INSTANCES * SLOTS['inventory'] * 1000 / SLOW_DELAY_MS

NORMAL_RATE = 60.0
SURGE_RATE = 400.0
NORMAL_S = 3.0
SURGE_S = 12.0
AFTER_S = 7.0

CLIENT_TIMEOUT_S = 2.0
MAX_RETRIES = 3
RETRY_DELAY_S = 0.1

# Goodput is normal in a bin of this length if at least this share of its
# requests succeeds.
GOODPUT_BIN_S = 0.5
MIN_NORMAL_SHARE = 0.95

KINDS = (
    load_kind.LoadKind(name='order', method='POST', path='/catalogue/order'),
    load_kind.LoadKind(name='page', method='GET', path='/catalogue/page'),
    load_kind.LoadKind(
        name='pattern', method='GET', path='/catalogue/pattern'
    ),
    load_kind.LoadKind(name='lookup', method='GET', path='/catalogue/lookup'),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SurgeResult:
    """Results of one run.

    Attributes:
        goodput: Successful responses in the surge, as a share of capacity.
        recovery_s: Seconds from the end of the surge until goodput stayed
            normal; the rest of the run if it never did.
        recovered: Whether goodput became normal before the run ended.
        wasted: Share of the runs at upstreams whose attempt did not succeed.
        answered: Share of the requests in the surge that succeeded, by kind.
        max_lateness_s: Largest delay in seconds between the due time and
            the start of a request.
    """

    goodput: float
    recovery_s: float
    recovered: bool
    wasted: float
    answered: dict[str, float]
    max_lateness_s: float


def start_chain(system: systems.System, control: bool) -> None:
    """Start all instances of the service chain."""
    system.node_command = ['features.support.shop_node']
    system.extra_settings['control'] = control
    called_services = [*SERVICES[1:], '']
    for service, called_service in zip(SERVICES, called_services, strict=True):
        for number in range(INSTANCES):
            node = system.start_node('%s-%d' % (service, number))
            arguments = ['--warm', '--slots', str(SLOTS[service])]
            if called_service:
                arguments += ['--calls', called_service]
            else:
                arguments += ['--delay-ms', str(NORMAL_DELAY_MS)]
            system.start_upstream(node, service, *arguments)
    for service in SERVICES:
        system.wait_for_members(service, INSTANCES)


def slow_down_inventory(system: systems.System) -> None:
    """Slow down inventory; it stays slow after the surge."""
    for number in range(INSTANCES):
        node = system.nodes['inventory-%d' % number]
        http.post_json(
            node.upstream_url('/-/options'), {'delay_ms': SLOW_DELAY_MS}
        )


def run(seed: int, control: bool) -> SurgeResult:
    """Run the load once, on newly started processes."""
    system = systems.System()
    try:
        start_chain(system, control)
        generator = load_generator.LoadGenerator(
            urls=[
                system.nodes['catalogue-%d' % number].caller_url('')
                for number in range(INSTANCES)
            ],
            kinds=KINDS,
            seed=seed,
            attempt_timeout_s=CLIENT_TIMEOUT_S,
            max_retries=MAX_RETRIES,
            retry_delay_s=RETRY_DELAY_S,
        )
        outcomes = generator.run(
            [
                (NORMAL_RATE, NORMAL_S),
                (SURGE_RATE, SURGE_S),
                (NORMAL_RATE, AFTER_S),
            ],
            [(NORMAL_S, lambda: slow_down_inventory(system))],
        )
        traces = [
            run['trace']
            for service in SERVICES
            for run in system.list_runs(service)
        ]
    finally:
        system.stop()
    if os.environ.get('SURGE_DETAIL'):
        print_timeline(outcomes, traces)
    return summarize(outcomes, traces, generator.max_lateness_s)


def summarize(
    outcomes: collections.abc.Sequence[load_outcome.LoadOutcome],
    traces: collections.abc.Sequence[str],
    max_lateness_s: float,
) -> SurgeResult:
    """Compute the results of one run."""
    start, end = NORMAL_S, NORMAL_S + SURGE_S
    before = [item for item in outcomes if item.started_s < start]
    if compute_success_share(before) < MIN_NORMAL_SHARE:
        raise RuntimeError(
            'only a share of %.2f of the requests before the surge succeeded'
            % compute_success_share(before)
        )
    in_time = sum(
        item.succeeded and start <= item.ended_s < end for item in outcomes
    )
    recovered_at, recovered = find_recovery(outcomes, end)
    surge = [item for item in outcomes if start <= item.started_s < end]
    succeeded = {item.attempts[-1][0] for item in outcomes if item.succeeded}
    sent = {trace for item in surge for trace, _, _ in item.attempts}
    ran = [trace for trace in traces if trace in sent]
    wasted = sum(trace not in succeeded for trace in ran)
    return SurgeResult(
        goodput=in_time / (CAPACITY * SURGE_S),
        recovery_s=recovered_at - end,
        recovered=recovered,
        wasted=wasted / max(1, len(ran)),
        answered={
            kind.name: compute_success_share(
                [item for item in surge if item.kind == kind.name]
            )
            for kind in KINDS
        },
        max_lateness_s=max_lateness_s,
    )


def compute_success_share(
    outcomes: collections.abc.Sequence[load_outcome.LoadOutcome],
) -> float:
    """Return the share of requests that succeeded."""
    return sum(item.succeeded for item in outcomes) / max(1, len(outcomes))


def find_recovery(
    outcomes: collections.abc.Sequence[load_outcome.LoadOutcome], end: float
) -> tuple[float, bool]:
    """Find the time after which goodput stays normal.

    Args:
        outcomes: Outcomes of all requests, ordered by start time.
        end: Seconds from the start of the load to the end of the surge.

    Returns:
        Seconds from the start of the load, and whether goodput became
        normal before the load ended.
    """
    starts = [item.started_s for item in outcomes]
    recovered_at = end
    position = end
    last = end + AFTER_S
    while position < last:
        low = bisect.bisect_left(starts, position)
        high = bisect.bisect_left(starts, position + GOODPUT_BIN_S)
        position += GOODPUT_BIN_S
        if compute_success_share(outcomes[low:high]) < MIN_NORMAL_SHARE:
            recovered_at = position
    return recovered_at, recovered_at < last


def print_timeline(
    outcomes: collections.abc.Sequence[load_outcome.LoadOutcome],
    traces: collections.abc.Sequence[str],
) -> None:
    """Print success shares and rules for each second, for diagnosis."""
    ran = set(traces)
    for second in range(int(NORMAL_S + SURGE_S + AFTER_S)):
        begun = [
            item for item in outcomes if second <= item.started_s < second + 1
        ]
        ended = sum(
            item.succeeded and second <= item.ended_s < second + 1
            for item in outcomes
        )
        rules: dict[str, int] = {}
        for item in begun:
            for trace, status, rule in item.attempts:
                name = rule or 'status %d' % status
                if not rule and trace not in ran:
                    name += ' without a run'
                rules[name] = rules.get(name, 0) + 1
        shares = {
            kind.name: round(
                compute_success_share(
                    [x for x in begun if x.kind == kind.name]
                ),
                2,
            )
            for kind in KINDS
        }
        print(second, len(begun), 'whole', ended, shares, rules)


def measure() -> list[figure.Figure]:
    """Measure all seeds, with and without overload control."""
    figures = []
    for control, mode in ((True, 'on'), (False, 'off')):
        for seed in SEEDS:
            result = run(seed, control)
            figures += build_figures(result, mode, seed)
    return figures


def build_figures(
    result: SurgeResult, mode: str, seed: int
) -> list[figure.Figure]:
    """Build the figures of one run."""
    note = '' if result.recovered else 'not recovered when the run ended'
    answered = ', '.join('%s %.2f' % item for item in result.answered.items())
    return [
        figure.Figure(
            name='surge.%s_goodput' % mode,
            value=round(result.goodput, 3),
            unit='of what the slowest service can do',
            seed=seed,
            note='answered: ' + answered,
        ),
        figure.Figure(
            name='surge.%s_recovery' % mode,
            value=result.recovery_s,
            unit='s',
            seed=seed,
            note=note,
        ),
        figure.Figure(
            name='surge.%s_wasted' % mode,
            value=round(result.wasted, 3),
            unit='of the runs at upstreams',
            seed=seed,
        ),
        figure.Figure(
            name='surge.%s_late' % mode,
            value=round(result.max_lateness_s, 3),
            unit='s at most after a request was due',
            seed=seed,
        ),
    ]
