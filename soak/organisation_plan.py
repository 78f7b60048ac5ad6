"""The organisations of a soak run, and what happens to their keys."""

import random

from soak import planned_fault
from soak import soak_options

# Offset of the seed, so that the schedules of the other faults stay as they
# were.
SEED_OFFSET = 3 << 32

# Holds the key of the requests that are drawn from the seed itself. It has no
# limit, and the priority of the routes, so these are served as without keys.
SHOP_KEY = 'vine-key'

LIMITED_KEY = 'oak-key'
INSIDE_ORGANISATION = 'elm'
INSIDE_KEY = 'elm-key'
KEYS_ORGANISATION = 'ash'
KEPT_KEY = 'ash-key-kept'
WITHDRAWN_KEY = 'ash-key-withdrawn'
UNKNOWN_KEY = 'nobody-key'

ORGANISATIONS: dict[str, dict[str, object]] = {
    'vine': {'apiKeys': [SHOP_KEY], 'priority': 1},
    'oak': {
        'apiKeys': [LIMITED_KEY],
        'priority': 2,
        'ratePerS': 20,
        'burst': 10,
    },
    INSIDE_ORGANISATION: {
        'apiKeys': [INSIDE_KEY],
        'priority': 0,
        'ratePerS': 20,
        'burst': 10,
    },
    KEYS_ORGANISATION: {'apiKeys': [KEPT_KEY, WITHDRAWN_KEY], 'priority': 1},
}
ORGANISATIONS_BY_KEY: dict[str, str] = {
    key: name
    for name, specification in ORGANISATIONS.items()
    for key in specification['apiKeys']
}

# Time within which a withdrawn key becomes invalid.
REVOCATION_S = 5.0

# Time from that until a node is restarted while the store is away, so that
# all nodes that were in touch have refused the key before.
MARGIN_S = 0.5

MIN_AWAY_S = 2.0
MAX_AWAY_S = 4.0


def draw_key_changes(
    options: soak_options.SoakOptions, instances: list[str]
) -> list[planned_fault.PlannedFault]:
    """Draw when a key is withdrawn and which node restarts after that.

    The store is away during the restart, which is no planned operation.

    Args:
        options: Options of the run, including the seed.
        instances: Names of the instances.

    Returns:
        The changes as planned faults.
    """
    rng = random.Random(options.seed + SEED_OFFSET)
    withdrawn_s = rng.uniform(1, 1 + options.fault_s / 3)
    withdrawal = planned_fault.PlannedFault(
        at_s=withdrawn_s, kind='withdraw_key'
    )
    if options.planned_only:
        return [withdrawal]
    return [
        withdrawal,
        planned_fault.PlannedFault(
            at_s=withdrawn_s + REVOCATION_S + MARGIN_S,
            kind='strand_node',
            instance=rng.choice(instances),
            duration_s=rng.uniform(MIN_AWAY_S, MAX_AWAY_S),
        ),
    ]
