"""Records of order keys and the tasks that run them."""

import asyncio
import collections.abc

from oleanderknot import decisions
from oleanderknot.tasks import task_log


class OrderTable:
    """Owns the records and the tasks of the keys that have this home.

    Attributes:
        records: Records by key.
        tasks: Task of each key that runs.
    """

    def __init__(self) -> None:
        self.records = decisions.OrderRecordStore()
        self.tasks: dict[str, asyncio.Task] = {}

    def start(
        self,
        key: str,
        coroutine: collections.abc.Coroutine[object, object, object],
    ) -> asyncio.Task:
        """Start the task of a key; it must call ``end`` before it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks[key] = task
        task.add_done_callback(task_log.log_failure)
        return task

    def end(self, key: str) -> None:
        """Remove the task of a key, which is about to end."""
        del self.tasks[key]

    async def wait_idle(self) -> None:
        """Wait until no key runs."""
        while self.tasks:
            await asyncio.wait(set(self.tasks.values()))

    async def join(self, key: str, timeout_s: float) -> None:
        """Wait until the task of a key has ended, or until a timeout.

        Args:
            key: The key.
            timeout_s: Seconds to wait at most.
        """
        task = self.tasks.get(key)
        if task is not None and timeout_s > 0:
            await asyncio.wait({task}, timeout=timeout_s)
