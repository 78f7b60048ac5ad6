"""Records of the order keys for which a node is the home node."""

import heapq

from oleanderknot import model
from oleanderknot.decisions import order_record

MAX_RECORDS = 20_000
MAX_BYTES = 64_000_000
MAX_ANSWER_BYTES = 64 * 1024

# Records of refused keys are small and have a separate limit, so that a
# refusal caused by too many records can itself still be recorded.
MAX_TOMBSTONES = 40_000

# Dropping 20,000 records at once blocked all calls for 50 ms. Records that
# stay beyond their expiry are harmless.
MAX_DROPS_PER_CALL = 64


class OrderRecordStore:
    """Decides which request of a key runs, and stores the outcome.

    A record is never dropped before it expires, since its key could then run
    again. The time used here never decreases: when the wall clock is set
    back, a key whose record was dropped must not become acceptable again.

    Attributes:
        records: Record by key.
        started_count: Number of records whose order is running or done.
        size: Total size of all stored answers in bytes.
        now: Latest wall-clock time seen, in seconds since 1970 (UTC).
        expiry_heap: Expiry times and keys of orders that no longer run.
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
        self.started_count = 0
        self.size = 0
        self.now = 0.0
        self.expiry_heap: list[tuple[float, str]] = []

    def advance(self, now: float) -> float:
        """Drop at most ``MAX_DROPS_PER_CALL`` expired records.

        Args:
            now: Wall-clock time in seconds since 1970 (UTC).

        Returns:
            The latest time seen.
        """
        self.now = max(self.now, now)
        for _ in range(MAX_DROPS_PER_CALL):
            if not self.expiry_heap or self.expiry_heap[0][0] >= self.now:
                break
            _, key = heapq.heappop(self.expiry_heap)
            record = self.records.pop(key)
            self.size -= record.size
            if record.state is not model.OrderState.REFUSED:
                self.started_count -= 1
        return self.now

    def find(self, key: str, now: float) -> order_record.OrderRecord | None:
        """Return the record of a key, or None."""
        self.advance(now)
        return self.records.get(key)

    def is_full(self) -> bool:
        """Return whether there is no capacity for a new key."""
        return (
            self.started_count >= self.max_records
            or self.size >= self.max_bytes
        )

    def begin(
        self, key: str, *, digest: bytes, expires_at: float, now: float
    ) -> model.KeyDecision:
        """Decide about a request, and record a run if it is to start.

        Args:
            key: The key.
            digest: Digest of the request.
            expires_at: Wall-clock time in seconds at which a record of the
                key may be dropped.
            now: Wall-clock time in seconds.

        Returns:
            The decision; after ``RUN`` the caller must later call
            ``finish``, ``refuse`` or ``discard``.
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
        self.started_count += 1
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
            key: Key of a running order.
            answer: The answer; it is stored if it is complete, short enough
                and within the byte limit.
            refusal: Reason why there is no answer, with verdict
                ``may have run``.
        """
        record = self.records[key]
        record.state = model.OrderState.DONE
        record.refusal = refusal
        if answer is not None and answer.body is None:
            size = count_answer_bytes(answer)
            if size <= MAX_ANSWER_BYTES and self.size + size <= self.max_bytes:
                record.answer = answer
                record.size = size
                self.size += size
        heapq.heappush(self.expiry_heap, (record.expires_at, key))

    def discard(self, key: str) -> None:
        """Drop the record of a run whose only frame was refused."""
        del self.records[key]
        self.started_count -= 1

    def refuse(
        self, key: str, *, refusal: model.Refusal, expires_at: float
    ) -> bool:
        """Record that a key has not run and never will.

        Args:
            key: Key that has no record, or whose run did not start.
            refusal: Reason, with verdict ``not run``.
            expires_at: Wall-clock time in seconds at which the record may be
                dropped.

        Returns:
            Whether the refusal was recorded. Only then may the caller be
            given the verdict ``not run``.
        """
        record = self.records.get(key)
        if record is None:
            if len(self.records) - self.started_count >= self.max_tombstones:
                return False
            record = order_record.OrderRecord(
                state=model.OrderState.REFUSED,
                digest=b'',
                expires_at=expires_at,
            )
            self.records[key] = record
        else:
            self.started_count -= 1
        record.state = model.OrderState.REFUSED
        record.refusal = refusal
        heapq.heappush(self.expiry_heap, (record.expires_at, key))
        return True


def decide_repeat(
    record: order_record.OrderRecord, digest: bytes
) -> model.KeyDecision:
    """Decide about a request whose key already has a record."""
    if record.digest and digest != record.digest:
        return model.KeyDecision.OTHER_REQUEST
    if record.state is model.OrderState.REFUSED:
        return model.KeyDecision.REFUSED
    if record.state is model.OrderState.RUNNING:
        return model.KeyDecision.JOIN
    if record.answer is None and record.refusal is None:
        return model.KeyDecision.NOT_KEPT
    return model.KeyDecision.SAME_RESULT


def count_answer_bytes(answer: model.Answer) -> int:
    """Return the size in bytes of the headers and body of an answer."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.content) + headers
