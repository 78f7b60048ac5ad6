"""Logs errors of tasks that nobody awaits."""

import asyncio

from absl import logging


def log_failure(task: asyncio.Task) -> None:
    """Log the error that ended a task; a callback for ``Task``."""
    if not task.cancelled() and task.exception() is not None:
        logging.error('task failed', exc_info=task.exception())
