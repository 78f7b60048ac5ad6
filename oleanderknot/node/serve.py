"""Runs a node until a signal stops it."""

import asyncio
import collections.abc
import signal

import aiomisc

from oleanderknot.node import signal_record
from oleanderknot.tasks import json_formatter
from oleanderknot.tasks import log_stream

# Time added to a node's own stop timeout before the stop is abandoned.
STOP_MARGIN_S = 10.0


def serve(
    node: aiomisc.Service,
    *,
    instance: str,
    level: str,
    stop_timeout_s: float,
    stream: log_stream.LogStream | None = None,
    reload: collections.abc.Callable[[], None] | None = None,
    signals: signal_record.SignalRecord | None = None,
) -> None:
    """Run a node until SIGTERM or SIGINT, then drain and stop it.

    Args:
        node: The node.
        instance: Name of the instance, written to each log line.
        level: Minimum level of log lines.
        stop_timeout_s: Maximum time in seconds that the node takes to stop.
        stream: Receives log lines; standard error by default.
        reload: Called on SIGHUP to reload the settings; without it, the
            signal ends the process.
        signals: Signals that have arrived since the process began.

    Raises:
        OSError: A listening address cannot be bound.
    """
    numbers = [signal.SIGTERM, signal.SIGINT]
    if reload is not None:
        numbers.append(signal.SIGHUP)
    signals = signals or signal_record.SignalRecord()
    signals.install(numbers)
    json_formatter.set_up_log(instance=instance, level=level, stream=stream)
    with aiomisc.entrypoint(
        node,
        log_config=False,
        shutdown_timeout=stop_timeout_s + STOP_MARGIN_S,
    ) as loop:
        stop = asyncio.Event()
        for number in numbers:
            handle = reload if number == signal.SIGHUP else stop.set
            loop.add_signal_handler(number, handle)
            if number in signals.received:
                handle()
        loop.run_until_complete(stop.wait())
