"""Refused requests by what identifies them when their clients return."""

import hashlib

from oleanderknot.decisions import remembered_refusal

# Longest time for which a refusal is remembered. Clients honour a Retry-After
# of at most a third of the time that they have left, so one that waits longer
# than a minute for its response has returned several times by then.
MAX_RETENTION_S = 60.0

# A client that returns has the same deadline as before. Deadlines are whole
# milliseconds, and the rest covers the transfer of the request. Requests that
# arrive within this time of a refusal are those of other clients: with equal
# timeouts, their deadlines are close as well.
SAME_DEADLINE_S = 0.02

# Bytes at each end of a body that its digest covers, besides the length.
# Hashing 64 MiB takes the event loop more than 50 ms.
DIGESTED_BYTES = 1 << 16

DIGEST_SIZE = 16

# Refusals of equal requests that are remembered at a time. A request is
# compared with all of them, which may take a few microseconds.
MAX_EQUAL_REQUESTS = 64


class RefusalMemory:
    """Finds the refusal that a returning client has received.

    A client returns with a new request id, so its request is recognised by
    its content. Several clients may send the same content: each refusal is
    one entry, and each entry is used once. If the deadline of a request is
    that of an entry, the request belongs to it; otherwise it uses the
    earliest entry that is due.

    Attributes:
        capacity: Largest number of entries; the oldest give way.
        entries: Entries by digest, in the order of the first refusal.
        size: Number of entries.
    """

    def __init__(self, *, capacity: int) -> None:
        self.capacity = capacity
        self.entries: dict[
            bytes, list[remembered_refusal.RememberedRefusal]
        ] = {}
        self.size = 0

    def match(
        self, digest: bytes, client_deadline: float, received_at: float
    ) -> remembered_refusal.RememberedRefusal | None:
        """Find the entry of a request, and remove it if it is due.

        Args:
            digest: Digest of the request.
            client_deadline: Monotonic time in seconds at which the client
                gives up.
            received_at: Monotonic time in seconds at which the request
                arrived.

        Returns:
            The entry, or None. If it is not due, the client came too early,
            and the entry stays.
        """
        found = self.entries.get(digest)
        if found is None:
            return None
        if found[0].client_deadline <= received_at:
            found = self.drop_expired(digest, received_at)
            if not found:
                return None
        for entry in found:
            if (
                abs(entry.client_deadline - client_deadline) <= SAME_DEADLINE_S
                and received_at - entry.refused_at > SAME_DEADLINE_S
            ):
                break
        else:
            entry = min(found, key=lambda item: item.return_at)
            if not entry.is_due(received_at):
                return None
        if entry.is_due(received_at):
            found.remove(entry)
            self.size -= 1
            if not found:
                del self.entries[digest]
        return entry

    def drop_expired(
        self, digest: bytes, now: float
    ) -> list[remembered_refusal.RememberedRefusal]:
        """Drop entries of clients that have given up; returns the others."""
        found = self.entries.pop(digest)
        kept = [item for item in found if item.client_deadline > now]
        self.size -= len(found) - len(kept)
        if kept:
            self.entries[digest] = kept
        return kept

    def add(
        self,
        digest: bytes,
        entry: remembered_refusal.RememberedRefusal,
        now: float,
    ) -> int:
        """Remember a refusal.

        Args:
            digest: Digest of the request.
            entry: The refusal.
            now: Monotonic time in seconds.

        Returns:
            Number of entries that gave way although they could still have
            been used.
        """
        entry.client_deadline = min(
            entry.client_deadline, now + MAX_RETENTION_S
        )
        evicted = 0
        while self.entries:
            oldest = next(iter(self.entries))
            found = self.entries[oldest]
            if found[-1].client_deadline > now and self.size < self.capacity:
                break
            evicted += sum(item.client_deadline > now for item in found)
            self.size -= len(found)
            del self.entries[oldest]
        found = self.entries.setdefault(digest, [])
        found.append(entry)
        self.size += 1
        if len(found) > MAX_EQUAL_REQUESTS:
            evicted += found.pop(0).client_deadline > now
            self.size -= 1
        return evicted


def digest_request(
    *, organisation: str, method: str, host: str, path: str, content: bytes
) -> bytes:
    """Return the digest that identifies a request of a returning client.

    Args:
        organisation: Name of the client's organisation; empty for none.
        method: HTTP method.
        host: Host that the request names.
        path: Path and query.
        content: The body.
    """
    digest = hashlib.blake2b(
        '\0'.join((organisation, method, host, path, '')).encode(),
        digest_size=DIGEST_SIZE,
    )
    if content:
        digest.update(b'%d\0' % len(content))
        digest.update(memoryview(content)[:DIGESTED_BYTES])
        digest.update(memoryview(content)[DIGESTED_BYTES:][-DIGESTED_BYTES:])
    return digest.digest()
