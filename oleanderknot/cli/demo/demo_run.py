"""Scenario of the demo."""

import collections.abc
import sys
import time

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import platform
from oleanderknot.cli import explain
from oleanderknot.cli.demo import demo_system
from oleanderknot.cli.demo import demo_ticket
from oleanderknot.cli.demo import outcome
from oleanderknot.cli.demo import phase_result
from oleanderknot.cli.demo import report
from oleanderknot.cli.demo import traffic_generator

SEED = 1
# One process runs everything, so the rates stay far below the capacity of real
# nodes; inventory, with 8 slots in total, is the bottleneck.
NORMAL_RATE_PER_S = 40.0
SURGE_RATE_PER_S = 200.0
PHASE_DURATION_S = 6.0
SLOW_DELAY_MS = 100.0
NORMAL_DELAY_MS = 20.0

# Customers whose request was not run retry immediately, up to this number of
# attempts in total.
SURGE_MAX_ATTEMPTS = 3

ProgressCallback = collections.abc.Callable[[str], None]


def print_progress(text: str) -> None:
    """Print a progress message to standard error."""
    print(text, file=sys.stderr, flush=True)


async def run(progress: ProgressCallback = print_progress) -> int:
    """Run the demo.

    Args:
        progress: Called with each progress message.

    Returns:
        The exit status: 0 if all checks of the demo passed, otherwise 1.
    """
    system = demo_system.DemoSystem()
    progress('Starting the platform, 6 upstreams and 6 nodes ...')
    await system.start()
    generator = traffic_generator.TrafficGenerator(system=system, seed=SEED)
    try:
        number = await file_ticket(system, progress)
        results = await run_phases(system, generator, progress)
    finally:
        await generator.close()
        await system.stop_nodes()
    print(report.format_table(results))
    print()
    failures = list_failures(system, results)
    print(await explain_ticket(system, number))
    for line in failures:
        print('FAILED: ' + line)
    await system.stop()
    return 1 if failures else 0


async def file_ticket(
    system: demo_system.DemoSystem, progress: ProgressCallback
) -> int:
    """File the demo ticket and wait until it is in force at every node."""
    progress(
        'Filing a ticket: customers take priority over internal lookups ...'
    )
    table = platform.TableClient(url=system.url, timeout_s=1.0)
    plan = await platform.ticket_filing.prepare(
        table, demo_ticket.build_ticket()
    )
    filed = await platform.ticket_filing.file_ticket(table, plan.ok)
    await table.close()
    number = filed.ticket.number
    await system.wait_for_ticket(number)
    progress('Ticket %d is in force in both data centres.' % number)
    return number


async def run_phases(
    system: demo_system.DemoSystem,
    generator: traffic_generator.TrafficGenerator,
    progress: ProgressCallback,
) -> list[phase_result.PhaseResult]:
    """Run the phases: normal load, surge with a slow service, normal load."""
    progress('Serving normal traffic ...')
    before = await generator.run(
        'before', rate=NORMAL_RATE_PER_S, duration_s=PHASE_DURATION_S
    )
    progress(
        'Surge: %.0f times the traffic, inventory %.0f times slower, '
        'customers retry immediately ...'
        % (
            SURGE_RATE_PER_S / NORMAL_RATE_PER_S,
            SLOW_DELAY_MS / NORMAL_DELAY_MS,
        )
    )
    system.set_delay('inventory', SLOW_DELAY_MS)
    surge = await generator.run(
        'surge',
        rate=SURGE_RATE_PER_S,
        duration_s=PHASE_DURATION_S,
        max_attempts=SURGE_MAX_ATTEMPTS,
    )
    system.set_delay('inventory', NORMAL_DELAY_MS)
    progress('The surge is over; measuring recovery without intervention ...')
    after = await generator.run(
        'after', rate=NORMAL_RATE_PER_S, duration_s=PHASE_DURATION_S
    )
    return [before, surge, after]


def list_failures(
    system: demo_system.DemoSystem, results: list[phase_result.PhaseResult]
) -> list[str]:
    """Compare the answers to customers with what the upstreams ran."""
    orders_run = sum(
        run['method'] == 'POST'
        for item in system.instances
        for run in item.upstream.runs
    )
    unknown = (outcome.Outcome.MAY_HAVE_RUN, outcome.Outcome.FAILED)
    return report.list_failures(
        results[0],
        results[-1],
        orders_confirmed=sum(
            item.count('order', outcome.Outcome.WHOLE) for item in results
        ),
        orders_run=orders_run,
        orders_unknown=sum(item.count('order', *unknown) for item in results),
    )


async def explain_ticket(system: demo_system.DemoSystem, number: int) -> str:
    """Return the text report of the ``explain`` command on a ticket."""
    query = explain.ReportQuery(
        addresses=border.PlatformSettings(
            table_url=system.url, object_url=system.url
        ),
        ticket=number,
        since=None,
        data_centre='',
        now=time.time(),
    )
    totals, alerts, remarks = await explain.read_report_inputs(query)
    sections = decisions.build_report(
        totals, alerts, now=query.now, remarks=remarks
    )
    return explain.format_text(sections)
