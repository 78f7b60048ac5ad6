"""Runs a node until it is told to stop."""

import asyncio
import collections.abc
import signal

import aiomisc

from oleanderknot.tasks import json_formatter
from oleanderknot.tasks import log_stream

# Time in seconds beyond a node's own limits after which a stop is given up.
STOP_MARGIN_S = 10.0


def serve(
    node: aiomisc.Service,
    *,
    instance: str,
    level: str,
    stop_timeout_s: float,
    stream: log_stream.LogStream | None = None,
    reload: collections.abc.Callable[[], None] | None = None,
) -> None:
    """Run a node until SIGTERM or SIGINT, then drain and stop it.

    Args:
        node: The node.
        instance: Name of its instance, for the log.
        level: Lowest level that is logged.
        stop_timeout_s: Seconds that its stop takes at most.
        stream: Where log lines go; standard error by default.
        reload: Called at SIGHUP, which says that settings have changed; by
            default the signal ends the process.

    Raises:
        OSError: A listening address cannot be used.
    """
    json_formatter.set_up_log(instance=instance, level=level, stream=stream)
    with aiomisc.entrypoint(
        node,
        log_config=False,
        shutdown_timeout=stop_timeout_s + STOP_MARGIN_S,
    ) as loop:
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        if reload is not None:
            loop.add_signal_handler(signal.SIGHUP, reload)
        loop.run_until_complete(stop.wait())
