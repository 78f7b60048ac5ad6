"""In-memory rows of the stand-in table service."""

import bisect
import collections.abc


class TableStore:
    """Holds rows in memory and commits transactions.

    Attributes:
        rows: Version and value by key.
        reads: Number of rows read.
        writes: Number of rows written.
    """

    def __init__(self) -> None:
        self.rows: dict[str, tuple[int, str]] = {}
        self.keys: list[str] = []
        self.last_version = 0
        self.reads = 0
        self.writes = 0

    def read(
        self, keys: collections.abc.Iterable[str]
    ) -> list[dict[str, object]]:
        """Return a row for each key; an absent row has version 0."""
        rows = []
        for key in keys:
            version, value = self.rows.get(key, (0, ''))
            rows.append({'key': key, 'version': version, 'value': value})
        self.reads += len(rows)
        return rows

    def scan(
        self, prefix: str, after: str, limit: int
    ) -> list[dict[str, object]]:
        """Return the rows under a key prefix after a key, in key order."""
        start = bisect.bisect_left(self.keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self.keys, after))
        keys = []
        for key in self.keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            keys.append(key)
        return self.read(keys)

    def commit(
        self, checks: dict[str, int], writes: dict[str, str]
    ) -> dict[str, int]:
        """Write rows if all keys have their expected versions.

        Args:
            checks: Expected version by key; 0 means absent.
            writes: New value by key.

        Returns:
            Actual versions of the keys that failed; empty after a commit.
        """
        conflicts = {}
        for key, expected in checks.items():
            found = self.rows.get(key, (0, ''))[0]
            if found != expected:
                conflicts[key] = found
        if conflicts:
            return conflicts
        for key, value in writes.items():
            if key not in self.rows:
                bisect.insort(self.keys, key)
            self.last_version += 1
            self.rows[key] = (self.last_version, value)
            self.writes += 1
        return {}
