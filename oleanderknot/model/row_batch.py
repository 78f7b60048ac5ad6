"""Rows of the platform's store as of one moment."""

import dataclasses

from oleanderknot.model import table_row


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowBatch:
    """Rows that one answer of the store holds.

    Attributes:
        version: Newest version of the store at that moment.
        rows: The rows.
        has_more: Whether the range holds more rows.
    """

    version: int
    rows: tuple[table_row.TableRow, ...]
    has_more: bool = False
