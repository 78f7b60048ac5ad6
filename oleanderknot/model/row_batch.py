"""Rows read from the platform's store at one version."""

import dataclasses

from oleanderknot.model import table_row


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowBatch:
    """Rows in one response of the store.

    Attributes:
        version: Latest version of the store at the time of the read.
        rows: Rows in the response.
        has_more: Whether the requested range contains more rows.
        clock_s: Time of the store's steady clock in seconds; None if the
            response does not tell it.
        epoch: Number that rises each time the store returns from a copy and
            loses what it acknowledged since that copy was made; None if the
            response does not tell it. Versions of different epochs are not
            comparable.
    """

    version: int
    rows: tuple[table_row.TableRow, ...]
    has_more: bool = False
    clock_s: float | None = None
    epoch: int | None = None
