"""Runs measurements and prints one JSON line a figure.

Without arguments all measurements run; with names only those.
"""

import dataclasses
import importlib
import json
import sys

from bench import bounds
from bench import figure

# Modules of this folder; each has ``measure() -> list[figure.Figure]``.
MEASUREMENTS = (
    'latency',
    'footprint',
    'decisions',
    'orders',
    'membership',
    'tickets',
    'tracing',
    'surge',
)


def report(item: figure.Figure) -> bool:
    """Print a figure and return whether its bound holds."""
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
    """Run measurements.

    Args:
        names: Measurements to run; all when empty.

    Returns:
        The exit status: 1 when a bound is broken.
    """
    broken = []
    for name in names or MEASUREMENTS:
        module = importlib.import_module('bench.' + name)
        broken += [item.name for item in module.measure() if not report(item)]
    if broken:
        print('bounds broken: %s' % ', '.join(broken))
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
