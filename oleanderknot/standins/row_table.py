"""In-memory rows of the stand-in row store."""

import asyncio
import collections.abc
import time

Address = tuple[str, str, str]


class RowTable:
    """Holds rows in memory under a single version counter.

    Attributes:
        rows: Version and base64 value by table, part and key.
        changes: Time in seconds, version, address and value of each change;
            a value of None means that the row was removed.
        version: Version of the latest transaction.
        epoch: Number of returns from a copy, plus 1.
        history_start: Oldest version after which all changes are known.
        changed: Condition notified after each transaction.
    """

    def __init__(self) -> None:
        self.rows: dict[Address, tuple[int, str]] = {}
        self.changes: list[tuple[float, int, Address, str | None]] = []
        self.version = 0
        self.epoch = 1
        self.history_start = 0
        self.changed = asyncio.Condition()

    async def commit(
        self,
        expected: collections.abc.Mapping[Address, int],
        put: collections.abc.Mapping[Address, str],
        remove: collections.abc.Iterable[Address],
    ) -> bool:
        """Apply a transaction if all rows have the expected versions.

        Returns:
            Whether the transaction was applied.
        """
        for address, version in expected.items():
            if self.rows.get(address, (0, ''))[0] != version:
                return False
        now = time.monotonic()
        self.version += 1
        for address, value in put.items():
            self.rows[address] = (self.version, value)
            self.changes.append((now, self.version, address, value))
        for address in remove:
            if self.rows.pop(address, None) is not None:
                self.changes.append((now, self.version, address, None))
        async with self.changed:
            self.changed.notify_all()
        return True

    def read(
        self, table: str, part: str, start: str, limit: int
    ) -> list[dict[str, object]]:
        """Return the rows of a part from a start key on, in key order."""
        addresses = sorted(
            address
            for address in self.rows
            if address[:2] == (table, part) and address[2] >= start
        )
        return [
            build_row(address, *self.rows[address])
            for address in addresses[:limit]
        ]

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> list[dict[str, object]] | None:
        """Wait up to ``wait_s`` seconds for changes of a table.

        Returns:
            The changed rows, empty after a timeout; None if the history does
            not reach back to ``after``, or not up to it.
        """
        deadline = asyncio.get_running_loop().time() + wait_s
        while self.history_start <= after <= self.version:
            changed_rows = [
                build_row(address, version, value)
                for _, version, address, value in self.changes
                if version > after and address[0] == table
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if changed_rows or remaining_s <= 0:
                return changed_rows
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), remaining_s)
                except TimeoutError:
                    continue
        return None

    def drop_history(self) -> None:
        """Discard the change history."""
        self.history_start = self.version + 1
        self.version += 1

    def return_from_copy(self, copied_at: float, rewrites: int = 0) -> None:
        """Discard the transactions since a copy was made.

        Args:
            copied_at: Time of the copy in seconds of ``time.monotonic``.
            rewrites: Number of transactions that other writers make again
                before any read.
        """
        self.changes = [
            change for change in self.changes if change[0] <= copied_at
        ]
        self.rows = {}
        self.version = 0
        for _, version, address, value in self.changes:
            self.version = version
            if value is None:
                self.rows.pop(address, None)
            else:
                self.rows[address] = (version, value)
        self.history_start = min(self.history_start, self.version)
        self.version += rewrites
        self.epoch += 1


def build_row(
    address: Address, version: int, value: str | None
) -> dict[str, object]:
    """Return a row in its JSON form."""
    row: dict[str, object] = {
        'table': address[0],
        'part': address[1],
        'key': address[2],
        'rowVersion': version,
    }
    if value is None:
        row['deleted'] = True
    else:
        row['value'] = value
    return row
