"""Runs benchmarks and prints one JSON line per figure.

Without arguments, all benchmarks run; otherwise only the named ones.
"""

import dataclasses
import importlib
import json
import sys

from bench import bounds
from bench import figure

# Modules of this package; each defines ``measure() -> list[figure.Figure]``.
BENCHMARKS = (
    'start',
    'latency',
    'sidecar',
    'footprint',
    'decisions',
    'orders',
    'membership',
    'tickets',
    'tracing',
    'surge',
)


def report(item: figure.Figure) -> bool:
    """Print a figure and return whether it is within its bound."""
    bound = bounds.BOUNDS.get(item.name)
    line = {
        key: value
        for key, value in dataclasses.asdict(item).items()
        if value not in (None, '')
    }
    holds = bound is None or bound.holds(item.value)
    if bound is not None:
        line['holds'] = holds
        line['bound'] = bound.source
    print(json.dumps(line), flush=True)
    return holds


def main(names: list[str]) -> int:
    """Run benchmarks.

    Args:
        names: Benchmarks to run; all if empty.

    Returns:
        The exit status: 1 if a figure is out of bounds.
    """
    broken = []
    for name in names or BENCHMARKS:
        module = importlib.import_module('bench.' + name)
        broken += [item.name for item in module.measure() if not report(item)]
    if broken:
        print('figures out of bounds: %s' % ', '.join(broken))
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
