"""Keeps long-lived tasks running after unexpected errors."""

import asyncio
import collections.abc

from absl import logging

# Delay before a task that failed is started again. It bounds the log and the
# processor time of a task that fails at once every time.
RESTART_DELAY_S = 0.5


async def supervise(
    name: str,
    run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    count: collections.abc.Callable[[str], None],
) -> None:
    """Run a task until it is cancelled, and start it again if it fails.

    Args:
        name: Name of the task for the log.
        run: Runs the task; it should not return.
        count: Counts an event by name.
    """
    while True:
        try:
            await run()
            logging.error('the task %s ended and is started again', name)
        except Exception:
            logging.exception('the task %s failed and is started again', name)
        count('task.restarted')
        await asyncio.sleep(RESTART_DELAY_S)
