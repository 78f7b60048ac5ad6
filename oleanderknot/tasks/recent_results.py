"""Results of calls that this node has answered a moment ago."""

import asyncio
import collections

from expression import Result

from oleanderknot import model

# A caller asks about a call at most 0.6 s after the last response on the
# connection, and connecting anew takes up to 0.5 s more.
RETENTION_S = 2.0

# Bound of the memory of all kept answers.
MAX_BYTES = 2 << 20


class RecentResults:
    """Keeps the results of calls in case their connection has gone silent.

    Answers that are longer than one message are not kept.

    Attributes:
        results: Results by session and number of the call, oldest first,
            with the loop time in seconds at which they were added.
        size: Bytes of the bodies of all kept answers.
    """

    def __init__(self) -> None:
        self.results: collections.OrderedDict[
            tuple[int, int],
            tuple[float, Result[model.Answer, model.Refusal]],
        ] = collections.OrderedDict()
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
        if result.is_ok() and result.ok.body is not None:
            return
        now = self.loop.time()
        self.results[session, number] = (now, result)
        self.size += measure(result)
        while self.results:
            key, (added_at, oldest) = next(iter(self.results.items()))
            if self.size <= MAX_BYTES and now - added_at <= RETENTION_S:
                break
            del self.results[key]
            self.size -= measure(oldest)

    def find(
        self, session: int, number: int
    ) -> Result[model.Answer, model.Refusal] | None:
        """Return the result of a call, or None if it is not kept."""
        entry = self.results.get((session, number))
        return None if entry is None else entry[1]


def measure(result: Result[model.Answer, model.Refusal]) -> int:
    """Return the bytes of the body of an answer; 0 for a refusal."""
    return len(result.ok.content) if result.is_ok() else 0
