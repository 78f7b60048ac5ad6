"""Records of the keys that one node is the home of."""

import heapq

from oleanderknot import model
from oleanderknot.decisions import order_record

MAX_RECORDS = 20_000
MAX_BYTES = 64_000_000
MAX_ANSWER_BYTES = 64 * 1024

# Refused keys are small and are remembered beyond the limit of records, so
# that a refusal for want of records can still be said truthfully.
MAX_TOMBSTONES = 40_000

# Dropping 20,000 records at once held all calls up for 50 ms. A record that
# is kept longer does no harm.
MAX_DROPS = 64


class OrderRecords:
    """Decides which request of a key runs, and remembers what became of it.

    A record is never dropped before its time, since its key would then run
    again. Time never goes back here: after a step of the wall clock a key
    whose record was dropped must not become acceptable again.

    Attributes:
        records: Record by key.
        live: Records that run or are done.
        size: Bytes of all kept answers.
        now: Latest wall-clock time seen, in seconds since 1970 (UTC).
    """

    def __init__(
        self,
        *,
        max_records: int = MAX_RECORDS,
        max_bytes: int = MAX_BYTES,
        max_tombstones: int = MAX_TOMBSTONES,
    ) -> None:
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.max_tombstones = max_tombstones
        self.records: dict[str, order_record.OrderRecord] = {}
        self.live = 0
        self.size = 0
        self.now = 0.0
        self.ends: list[tuple[float, str]] = []

    def advance(self, now: float) -> float:
        """Drop some of the records whose time has passed.

        Args:
            now: Wall-clock time in seconds since 1970 (UTC).

        Returns:
            The latest time seen.
        """
        self.now = max(self.now, now)
        for _ in range(MAX_DROPS):
            if not self.ends or self.ends[0][0] >= self.now:
                break
            _, key = heapq.heappop(self.ends)
            record = self.records.pop(key)
            self.size -= record.size
            if record.state is not model.OrderState.REFUSED:
                self.live -= 1
        return self.now

    def find(self, key: str, now: float) -> order_record.OrderRecord | None:
        """Return the record of a key, or None when there is none."""
        self.advance(now)
        return self.records.get(key)

    def is_full(self) -> bool:
        """Return whether a new key cannot be run."""
        return self.live >= self.max_records or self.size >= self.max_bytes

    def begin(
        self, key: str, *, digest: bytes, expires_at: float, now: float
    ) -> model.KeyDecision:
        """Decide about a request, and record that it runs if it is to run.

        Args:
            key: The key.
            digest: Digest of the request.
            expires_at: Wall-clock time in seconds at which a record of the
                key may be dropped.
            now: Wall-clock time in seconds.

        Returns:
            The decision; after ``RUN`` the caller must call ``finish`` or
            ``refuse`` later.
        """
        record = self.find(key, now)
        if record is not None:
            return decide_repeat(record, digest)
        if expires_at < self.now:
            return model.KeyDecision.EXPIRED
        if self.is_full():
            return model.KeyDecision.FULL
        self.records[key] = order_record.OrderRecord(
            state=model.OrderState.RUNNING,
            digest=digest,
            expires_at=expires_at,
        )
        self.live += 1
        return model.KeyDecision.RUN

    def finish(
        self,
        key: str,
        *,
        answer: model.Answer | None = None,
        refusal: model.Refusal | None = None,
    ) -> None:
        """Record the end of a run.

        Args:
            key: A key that runs.
            answer: The answer; it is kept when it is whole, short, and there
                is room.
            refusal: Why there is no answer, with verdict ``may have run``.
        """
        record = self.records[key]
        record.state = model.OrderState.DONE
        record.refusal = refusal
        if answer is not None and answer.body is None:
            size = measure(answer)
            if size <= MAX_ANSWER_BYTES and self.size + size <= self.max_bytes:
                record.answer = answer
                record.size = size
                self.size += size
        heapq.heappush(self.ends, (record.expires_at, key))

    def forget(self, key: str) -> None:
        """Drop the record of a run that was refused on its only frame."""
        del self.records[key]
        self.live -= 1

    def refuse(
        self, key: str, *, refusal: model.Refusal, expires_at: float
    ) -> bool:
        """Record that a key has not run and never will.

        Args:
            key: A key that is unseen, or whose run did not start.
            refusal: Why, with verdict ``not run``.
            expires_at: Wall-clock time in seconds at which the record may be
                dropped.

        Returns:
            Whether it is recorded; only then may ``not run`` be said.
        """
        record = self.records.get(key)
        if record is None:
            if len(self.records) - self.live >= self.max_tombstones:
                return False
            record = order_record.OrderRecord(
                state=model.OrderState.REFUSED,
                digest=b'',
                expires_at=expires_at,
            )
            self.records[key] = record
        else:
            self.live -= 1
        record.state = model.OrderState.REFUSED
        record.refusal = refusal
        heapq.heappush(self.ends, (record.expires_at, key))
        return True


def decide_repeat(
    record: order_record.OrderRecord, digest: bytes
) -> model.KeyDecision:
    """Decide about a request whose key has a record."""
    if record.digest and digest != record.digest:
        return model.KeyDecision.OTHER_REQUEST
    if record.state is model.OrderState.REFUSED:
        return model.KeyDecision.REFUSED
    if record.state is model.OrderState.RUNNING:
        return model.KeyDecision.JOIN
    if record.answer is None and record.refusal is None:
        return model.KeyDecision.NOT_KEPT
    return model.KeyDecision.SAME_RESULT


def measure(answer: model.Answer) -> int:
    """Return the bytes of a whole answer."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.content) + headers
