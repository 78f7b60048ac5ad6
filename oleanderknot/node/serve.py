"""Runs a node until it is told to stop."""

import asyncio
import signal

import aiomisc

from oleanderknot import border
from oleanderknot.node import application
from oleanderknot.tasks import json_formatter


def serve(
    settings: border.NodeSettings,
    node: application.NodeApplication | None = None,
) -> None:
    """Run a node until SIGTERM or SIGINT, then drain and stop it.

    Args:
        settings: Settings of the node.
        node: The node, when it is not to be built from the settings alone.

    Raises:
        OSError: A listening address cannot be used.
    """
    json_formatter.set_up_log(
        instance=settings.instance, level=settings.log.level
    )
    node = node or application.NodeApplication(settings=settings)
    with aiomisc.entrypoint(
        node,
        log_config=False,
        shutdown_timeout=settings.drain_timeout_s + 10,
    ) as loop:
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.run_until_complete(stop.wait())
