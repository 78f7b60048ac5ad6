"""Records of order keys and the tasks that run them."""

import asyncio
import collections.abc

from oleanderknot import decisions
from oleanderknot.tasks import task_log


class OrderTable:
    """Owns what one node knows about the keys that it is the home of.

    Attributes:
        records: Records by key.
        tasks: Task of each key that runs.
    """

    def __init__(self) -> None:
        self.records = decisions.OrderRecordStore()
        self.tasks: dict[str, asyncio.Task] = {}

    def start(
        self,
        text: str,
        work: collections.abc.Coroutine[object, object, object],
    ) -> asyncio.Task:
        """Start the task of a key; it must call ``end`` before it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks[text] = task
        task.add_done_callback(task_log.log_failure)
        return task

    def end(self, text: str) -> None:
        """Note that the task of a key is about to end."""
        del self.tasks[text]

    async def wait_idle(self) -> None:
        """Wait until no key runs."""
        while self.tasks:
            await asyncio.wait(set(self.tasks.values()))

    async def join(self, text: str, timeout_s: float) -> None:
        """Wait until the task of a key has ended, or for a time.

        Args:
            text: The key.
            timeout_s: Seconds to wait at most.
        """
        task = self.tasks.get(text)
        if task is not None and timeout_s > 0:
            await asyncio.wait({task}, timeout=timeout_s)
