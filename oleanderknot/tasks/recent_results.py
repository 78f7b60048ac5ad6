"""Results of calls that this node has answered a moment ago."""

import asyncio
import collections

from expression import Result

from oleanderknot import decisions
from oleanderknot import model

# A caller asks about a call at most 0.6 s after the last response on the
# connection, and connecting anew takes up to 0.5 s more.
RETENTION_S = 2.0

# Bound of the memory of all kept answers.
MAX_BYTES = 2 << 20

# The lease changes in steps of this size, not with each result.
LEASE_STEP_BYTES = 16 * 1024


class RecentResults:
    """Keeps the results of calls in case their connection has gone silent.

    Answers that are longer than one message are not kept.

    Attributes:
        results: Results by session and number of the call.
        added: Loop time in seconds at which each result was added, its key,
            and the bytes of its body, oldest first.
        size: Bytes of the bodies of all kept answers.
        lease: Their part of the memory of the node; it has room for all kept
            answers and at most two steps more.
    """

    def __init__(self, *, memory: decisions.NodeMemory | None = None) -> None:
        self.lease = (memory or decisions.NodeMemory()).lease(
            decisions.HolderKind.KEPT, self.clear
        )
        self.results: dict[
            tuple[int, int], Result[model.Answer, model.Refusal]
        ] = {}
        self.added: collections.deque[tuple[float, tuple[int, int], int]] = (
            collections.deque()
        )
        self.size = 0
        self.loop = asyncio.get_running_loop()

    def add(
        self,
        session: int,
        number: int,
        result: Result[model.Answer, model.Refusal],
    ) -> None:
        """Keep the result of a call.

        Args:
            session: Session of the connection that the call came on.
            number: Number of the call on that connection.
            result: The result.
        """
        size = 0
        if result.is_ok():
            if result.ok.body is not None:
                return
            size = len(result.ok.content)
        now = self.loop.time()
        key = (session, number)
        added = self.added
        self.results[key] = result
        added.append((now, key, size))
        self.size += size
        while added and (
            self.size > MAX_BYTES or now - added[0][0] > RETENTION_S
        ):
            _, oldest, freed = added.popleft()
            self.results.pop(oldest, None)
            self.size -= freed
        spare = self.lease.size - self.size
        if not 0 <= spare < 2 * LEASE_STEP_BYTES:
            steps = -(-self.size // LEASE_STEP_BYTES)
            if not self.lease.resize(steps * LEASE_STEP_BYTES):
                self.clear()

    def clear(self) -> None:
        """Drop all results; called when the memory is needed elsewhere."""
        self.results.clear()
        self.added.clear()
        self.size = 0
        self.lease.end()

    def find(
        self, session: int, number: int
    ) -> Result[model.Answer, model.Refusal] | None:
        """Return the result of a call, or None if it is not kept."""
        return self.results.get((session, number))
