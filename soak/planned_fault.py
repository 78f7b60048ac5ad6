"""One scheduled fault of a soak run."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedFault:
    """A fault with its start time and duration.

    Attributes:
        at_s: Start time, in seconds from the start of fault injection.
        kind: Name of the method of ``FaultInjector`` that injects it.
        instance: Target instance; unused by faults of the store and policy.
        duration_s: Duration in seconds.
        magnitude: Milliseconds of a delay, number of dropped answers, requests
            a second of a limit, or number of rows that other writers put.
        variant: Variant of the kind; empty if it has only one.
    """

    at_s: float
    kind: str
    instance: str = ''
    duration_s: float = 1.0
    magnitude: int = 0
    variant: str = ''
