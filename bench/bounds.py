"""Bounds of the benchmark figures.

A bound comes from a target that the users stated, never from a measured
figure.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bound:
    """Allowed range of one figure.

    Attributes:
        at_most: Largest allowed value; None if unbounded.
        at_least: Smallest allowed value; None if unbounded.
        source: Stated target that the bound comes from.
    """

    at_most: float | None = None
    at_least: float | None = None
    source: str

    def holds(self, value: float) -> bool:
        """Return whether a value is within the bound."""
        if self.at_most is not None and value > self.at_most:
            return False
        return self.at_least is None or value >= self.at_least


BOUNDS = {
    'start.cpu_ratio': Bound(
        at_most=1.3,
        source='a start takes 1.3 times the processor time of its libraries',
    ),
    'start.memory_ratio': Bound(
        at_most=1.3,
        source='a start takes 1.3 times the memory of its libraries',
    ),
    'decisions.quota_request_100000': Bound(
        at_most=10.0,
        source='all new decisions together cost a request at most 10 us',
    ),
    'latency.added_p99': Bound(
        at_most=0.35, source='0.35 ms added to a call for 99 in 100'
    ),
    'sidecar.root_ratio': Bound(
        at_most=2 / 3,
        source='at least a third less processor time a call than before',
    ),
    'sidecar.nested_ratio': Bound(
        at_most=2 / 3,
        source='at least a third less processor time a call than before',
    ),
    'decisions.balanced_choice_slope': Bound(
        at_most=0.3,
        source='a choice of at most 4 microseconds and 0.3 for each upstream',
    ),
    'decisions.balanced_choice_3': Bound(
        at_most=4.9,
        source='a choice of at most 4 microseconds and 0.3 for each upstream',
    ),
    'surge.on_goodput': Bound(
        at_least=0.9,
        source='goodput in the surge of at least 90 % of what the slowest'
        ' service can do',
    ),
    'surge.on_recovery': Bound(
        at_most=5.0, source='recovery within 5 s of the end of the surge'
    ),
    'orders.full_mb': Bound(
        at_most=256, source='256 MB of a node for control'
    ),
    'tickets.in_force_max': Bound(
        at_most=7.0,
        source='a ticket is in force in every data centre within 7 s',
    ),
    'tickets.rejoin_max': Bound(
        at_most=7.0,
        source='a ticket is in force within 7 s where it can be reached',
    ),
    'tickets.slow_table_max': Bound(
        at_most=7.0,
        source='a ticket is in force in every data centre within 7 s',
    ),
    'tickets.reads_per_data_centre': Bound(
        at_most=2000 / 11,
        source='the platform takes 2,000 reads a second of 11 data centres',
    ),
    'tracing.unsampled': Bound(
        at_most=5.0, source='a few microseconds for a call without a span'
    ),
    'membership.bytes_1200': Bound(
        at_most=7000, source='7 KB a second of a node for control'
    ),
    'membership.core_1200': Bound(
        at_most=2.3, source='2.3 % of a core of a node for control'
    ),
    'membership.memory_1200': Bound(
        at_most=256, source='256 MB of a node for control'
    ),
}
