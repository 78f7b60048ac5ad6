"""Store client that gives prepared answers."""

from expression import Error
from expression import Ok

from oleanderknot import model


class ScriptedStore:
    """Gives prepared answers, one per call, and records the calls.

    Attributes:
        connected: Whether the connection of the last call is kept.
        answers: Batches and faults still to give.
        calls: Texts of the calls so far.
    """

    def __init__(self) -> None:
        self.answers: list[model.RowBatch | model.PlatformFault] = []
        self.calls: list[str] = []
        self.connected = True

    def is_connected(self):
        """Return whether the connection of the last call is kept."""
        return self.connected

    async def read(self, table):
        """Answer a read."""
        self.calls.append('a read')
        return self.answer()

    async def follow(self, table, *, after, wait_s):
        """Answer a poll."""
        waits = 'waits' if wait_s else 'does not wait'
        self.calls.append('a poll from %d that %s' % (after, waits))
        return self.answer()

    def answer(self):
        """Return the next answer."""
        answer = self.answers.pop(0)
        if isinstance(answer, model.PlatformFault):
            return Error(answer)
        return Ok(answer)
