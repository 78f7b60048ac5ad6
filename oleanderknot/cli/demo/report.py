"""Formats and checks the results of the demo; performs no I/O."""

import collections.abc

from oleanderknot.cli.demo import outcome
from oleanderknot.cli.demo import phase_result

HEADINGS = (
    'phase',
    'pages whole',
    'pages refused',
    'orders whole',
    'orders refused',
    'orders unknown',
    'lookups whole',
    'lookups refused',
    'whole/s',
    'median ms',
)

# Minimum ratio of the goodput after the surge to the goodput before it.
MIN_GOODPUT_RATIO = 0.9


def build_row(result: phase_result.PhaseResult) -> tuple[str, ...]:
    """Build the table row of a phase."""
    whole = outcome.Outcome.WHOLE
    refused = outcome.Outcome.NOT_RUN
    unknown = (outcome.Outcome.MAY_HAVE_RUN, outcome.Outcome.FAILED)
    return (
        result.name,
        str(result.count('page', whole)),
        str(result.count('page', refused, *unknown)),
        str(result.count('order', whole)),
        str(result.count('order', refused)),
        str(result.count('order', *unknown)),
        str(result.count('lookup', whole)),
        str(result.count('lookup', refused, *unknown)),
        '%.0f' % result.compute_goodput(),
        '%.0f' % result.compute_median_ms(),
    )


def format_table(
    results: collections.abc.Iterable[phase_result.PhaseResult],
) -> str:
    """Format the results of all phases as a table.

    Args:
        results: Results of the phases, in order.

    Returns:
        The lines of the table, joined by newlines.
    """
    rows = [HEADINGS, *(build_row(result) for result in results)]
    widths = [max(len(row[i]) for row in rows) for i in range(len(HEADINGS))]
    lines = []
    for row in rows:
        cells = [row[0].ljust(widths[0])]
        cells += [
            cell.rjust(width)
            for cell, width in zip(row[1:], widths[1:], strict=True)
        ]
        lines.append('  '.join(cells).rstrip())
    lines.insert(1, '  '.join('-' * width for width in widths))
    return '\n'.join(lines)


def list_failures(
    before: phase_result.PhaseResult,
    after: phase_result.PhaseResult,
    *,
    orders_confirmed: int,
    orders_run: int,
    orders_unknown: int,
) -> list[str]:
    """List the checks of the demo that failed.

    Args:
        before: Phase before the surge.
        after: Phase after the surge.
        orders_confirmed: Orders that were confirmed to customers.
        orders_run: Orders that the upstreams ran.
        orders_unknown: Orders whose outcome customers do not know.

    Returns:
        One sentence for each failure; empty if all checks passed.
    """
    failures = []
    if before.count('page', outcome.Outcome.WHOLE) == 0:
        failures.append('No catalogue page was served before the surge.')
    if after.compute_goodput() < MIN_GOODPUT_RATIO * before.compute_goodput():
        failures.append('Goodput did not return to normal after the surge.')
    if not orders_confirmed <= orders_run <= orders_confirmed + orders_unknown:
        failures.append(
            '%d orders were confirmed and %d more may have run, but '
            'the upstreams ran %d.'
            % (orders_confirmed, orders_unknown, orders_run)
        )
    return failures
