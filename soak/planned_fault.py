"""One scheduled fault of a soak run."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedFault:
    """A fault with its start time and duration.

    Attributes:
        at_s: Start time, in seconds since the first fault was due.
        kind: Name of the method of ``Injector`` that injects it.
        instance: Target instance; unused by faults of the store and policy.
        for_s: Duration in seconds.
        strength: Milliseconds of a delay, or number of dropped answers.
        how: Variant of the kind; empty if it has only one.
    """

    at_s: float
    kind: str
    instance: str = ''
    for_s: float = 1.0
    strength: int = 0
    how: str = ''
