"""Counts and logs what gives way when the memory of a node is short."""

import collections.abc

from absl import logging

from oleanderknot import decisions

# Holders that give way are logged at most once in this period.
LOG_PERIOD_S = 1


def build_give_way_handler(
    count: collections.abc.Callable[[str], None],
) -> collections.abc.Callable[[decisions.HolderKind], None]:
    """Build the function that is called for each holder that gives way."""

    def handle(kind: decisions.HolderKind) -> None:
        count('memory.gave_way')
        logging.log_every_n_seconds(
            logging.WARNING,
            'memory is short: a holder of kind %s gives way',
            LOG_PERIOD_S,
            kind.name.lower(),
        )

    return handle
