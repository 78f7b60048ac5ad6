"""Row of the platform's table service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableRow:
    """One row of the table.

    Attributes:
        key: Key of the row.
        version: Version that increases with each write; 0 for an absent row.
        value: Text, JSON by convention; empty when the row is absent or
            was deleted.
    """

    key: str
    version: int
    value: str
