"""Draws the notices that back ends put in their answers in a soak run."""

import random

from soak import planned_fault
from soak import soak_options

# Offset of the seed, so that the schedule of the faults stays as it was.
SEED_OFFSET = 1 << 32

# Requests a second that a back end names, below its share of the usual load.
MIN_RATE = 1
MAX_RATE = 4

# A limit is checked from 3 s after it was named, over 4 s.
MIN_LIMIT_S = 6.0
MAX_LIMIT_S = 12.0


def draw_notices(
    options: soak_options.SoakOptions, instances: list[str]
) -> list[planned_fault.PlannedFault]:
    """Draw the limits that back ends name, and those that say they leave.

    Args:
        options: Options of the run, including the seed.
        instances: Names of the instances whose back ends get requests.

    Returns:
        The notices as planned faults.
    """
    rng = random.Random(options.seed + SEED_OFFSET)
    limited, leaving = rng.sample(instances, 2)
    return [
        planned_fault.PlannedFault(
            at_s=rng.uniform(0, options.fault_s / 3),
            kind='limit_backend',
            instance=limited,
            duration_s=rng.uniform(MIN_LIMIT_S, MAX_LIMIT_S),
            magnitude=rng.randint(MIN_RATE, MAX_RATE),
        ),
        planned_fault.PlannedFault(
            at_s=rng.uniform(0, options.fault_s),
            kind='leave_backend',
            instance=leaving,
            duration_s=rng.uniform(0.2, 1.0),
        ),
    ]
