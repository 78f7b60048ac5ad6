"""Logs exceptions of background tasks that are not awaited."""

import asyncio

from absl import logging


def log_failure(task: asyncio.Task) -> None:
    """Log the exception of a finished task; a done callback."""
    if not task.cancelled() and task.exception() is not None:
        logging.error('background task failed', exc_info=task.exception())
