"""One fault that a soak injects."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedFault:
    """A fault and when it begins.

    Attributes:
        at_s: Seconds from the start of the faults.
        kind: Name of the function in ``injector`` that carries it out.
        instance: Instance that it hits; empty for the store or all.
        for_s: Seconds that it lasts.
        strength: Milliseconds of a delay, or number of lost answers.
        how: Variant.
    """

    at_s: float
    kind: str
    instance: str = ''
    for_s: float = 1.0
    strength: int = 0
    how: str = ''
