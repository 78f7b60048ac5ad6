"""Draws the faults of a soak from its seed."""

import random

from soak import planned_fault
from soak import soak_options

# Seconds between the beginnings of two faults; most last longer, so that
# series overlap.
SHORTEST_GAP_S = 0.15
LONGEST_GAP_S = 1.2
LONGEST_FAULT_S = 4.0

# Longest delay of a proxy and most commits whose answers are lost.
LONGEST_DELAY_MS = 400
MOST_LOST_ANSWERS = 3

# A fault hits the same instance again with this probability.
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
    """Draw the faults of a soak.

    Args:
        options: Options with the seed.
        instances: Names of the instances.

    Returns:
        The faults in order of time.
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
