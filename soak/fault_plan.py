"""Draws the fault schedule of a soak run from its seed."""

import random

from soak import planned_fault
from soak import soak_options

# Interval between the starts of two faults. Most faults last longer, so that
# consecutive faults overlap.
SHORTEST_GAP_S = 0.15
LONGEST_GAP_S = 1.2
LONGEST_FAULT_S = 4.0

# Upper bounds of a delay and of the number of commits whose answers are
# dropped.
LONGEST_DELAY_MS = 400
MOST_LOST_ANSWERS = 3

# Probability that a fault hits the same instance as the one before it.
REPEAT_SHARE = 0.3

PLANNED_KINDS = ('restart_node', 'reload_node', 'drain_backend', 'add_route')
KINDS = {
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
    kinds = PLANNED_KINDS if options.planned_only else tuple(KINDS)
    while now < options.fault_s:
        instance = rng.choice(instances)
        if faults and rng.random() < REPEAT_SHARE:
            instance = faults[-1].instance
        kind = rng.choice(kinds)
        how = rng.choice(KINDS[kind])
        lost = how == 'drop_commits'
        faults.append(
            planned_fault.PlannedFault(
                at_s=now,
                kind=kind,
                instance=instance,
                for_s=rng.uniform(0.3, LONGEST_FAULT_S),
                strength=rng.randint(
                    1, MOST_LOST_ANSWERS if lost else LONGEST_DELAY_MS
                ),
                how=how,
            )
        )
        now += rng.uniform(SHORTEST_GAP_S, LONGEST_GAP_S)
    return faults
