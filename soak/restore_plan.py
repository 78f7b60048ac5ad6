"""Draws the returns of the store from a copy in a soak run."""

import random

from soak import fault_plan
from soak import planned_fault
from soak import soak_options

# Offset of the seed, so that the schedules of the other faults stay as they
# were.
SEED_OFFSET = 2 << 32

# Time from the copy until the store returns from it, in seconds.
MIN_AGE_S = 1.0
MAX_AGE_S = 5.0

# Rows that other writers put in that time.
MIN_ROWS = 5
MAX_ROWS = 30


def draw_returns(
    options: soak_options.SoakOptions,
) -> list[planned_fault.PlannedFault]:
    """Draw the returns from a copy; none with planned operations only.

    One falls among the other faults. The other one follows them, since a node
    that starts later reads the policy and passes on what others missed.
    """
    if options.planned_only:
        return []
    rng = random.Random(options.seed + SEED_OFFSET)
    return [
        planned_fault.PlannedFault(
            at_s=at_s,
            kind='restore_store',
            duration_s=rng.uniform(MIN_AGE_S, MAX_AGE_S),
            magnitude=rng.randint(MIN_ROWS, MAX_ROWS),
        )
        for at_s in (
            rng.uniform(0, options.fault_s / 2),
            options.fault_s + fault_plan.MAX_FAULT_S,
        )
    ]
