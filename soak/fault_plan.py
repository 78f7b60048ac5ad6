"""Draws the fault schedule of a soak run from its seed."""

import random

from soak import planned_fault
from soak import soak_options

# Interval between the starts of two faults. Most faults last longer, so that
# consecutive faults overlap.
MIN_GAP_S = 0.15
MAX_GAP_S = 1.2
MAX_FAULT_S = 4.0

# Upper bounds of a delay and of the number of commits whose answers are
# dropped.
MAX_DELAY_MS = 400
MAX_DROPPED_ANSWERS = 3

# Probability that a fault hits the same instance as the one before it.
REPEAT_SHARE = 0.3

PLANNED_KINDS = ('restart_node', 'reload_node', 'drain_backend', 'add_route')
VARIANTS_BY_KIND = {
    'kill_node': ('',),
    'pause_node': ('',),
    'restart_node': ('',),
    'reload_node': ('',),
    'kill_backend': ('',),
    'pause_backend': ('',),
    'drain_backend': ('',),
    'delay_link': ('',),
    'cut_link': ('',),
    'freeze_link': ('forward', 'back', 'both'),
    'hold_link': ('',),
    'harm_store': ('silent', 'down', 'busy', 'delay_ms', 'drop_commits'),
    'forget_history': ('',),
    'add_route': ('',),
}


def draw_faults(
    options: soak_options.SoakOptions, instances: list[str]
) -> list[planned_fault.PlannedFault]:
    """Draw the faults of a soak run.

    Args:
        options: Options of the run, including the seed.
        instances: Names of the instances.

    Returns:
        The faults, ordered by start time.
    """
    rng = random.Random(options.seed)
    faults: list[planned_fault.PlannedFault] = []
    now = 0.0
    kinds = PLANNED_KINDS if options.planned_only else tuple(VARIANTS_BY_KIND)
    while now < options.fault_s:
        instance = rng.choice(instances)
        if faults and rng.random() < REPEAT_SHARE:
            instance = faults[-1].instance
        kind = rng.choice(kinds)
        variant = rng.choice(VARIANTS_BY_KIND[kind])
        drops_answers = variant == 'drop_commits'
        faults.append(
            planned_fault.PlannedFault(
                at_s=now,
                kind=kind,
                instance=instance,
                duration_s=rng.uniform(0.3, MAX_FAULT_S),
                magnitude=rng.randint(
                    1, MAX_DROPPED_ANSWERS if drops_answers else MAX_DELAY_MS
                ),
                variant=variant,
            )
        )
        now += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return faults
