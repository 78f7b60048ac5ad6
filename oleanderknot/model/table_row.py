"""Row of the platform's table service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableRow:
    """One row.

    Attributes:
        key: Key of the row.
        version: Rises with each write; 0 stands for a row that is absent.
        value: Text, JSON by convention; empty when the row is absent or
            was dropped.
    """

    key: str
    version: int
    value: str
