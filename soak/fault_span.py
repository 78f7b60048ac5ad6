"""When a fault began and ended."""

import dataclasses

from soak import planned_fault


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FaultSpan:
    """An injected fault with the times at which it began and ended.

    Attributes:
        fault: The fault.
        began_at: Monotonic time in seconds.
        ended_at: Monotonic time in seconds.
    """

    fault: planned_fault.PlannedFault
    began_at: float
    ended_at: float
