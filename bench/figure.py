"""One figure of a benchmark."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """A figure that a benchmark measured or computed.

    Attributes:
        name: Name in the form ``<benchmark>.<quantity>``.
        value: Value in ``unit``.
        unit: Unit of the value.
        seed: Random seed of the run; None if it has none.
        note: Conditions under which the value was obtained.
    """

    name: str
    value: float
    unit: str
    seed: int | None = None
    note: str = ''
