"""One measured figure."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """A measured figure.

    Attributes:
        name: Name, ``<measurement>.<what>``.
        value: Measured value.
        unit: Unit of the value.
        seed: Seed of the run; None when there is none.
        note: Conditions that a reader needs.
    """

    name: str
    value: float
    unit: str
    seed: int | None = None
    note: str = ''
