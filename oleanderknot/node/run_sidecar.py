"""Runs a sidecar node and reloads its settings on SIGHUP."""

import pathlib
import sys

from absl import logging

from oleanderknot import border
from oleanderknot.node import serve
from oleanderknot.node import sidecar_application
from oleanderknot.node import signal_record
from oleanderknot.tasks import log_stream


def run_sidecar(
    settings: border.SidecarSettings,
    path: pathlib.Path,
    signals: signal_record.SignalRecord,
) -> None:
    """Run a node until SIGTERM, then drain and stop it.

    Args:
        settings: Settings of the node.
        path: File that they were loaded from and are reloaded from.
        signals: Signals that have arrived since the process began.

    Raises:
        OSError: A listening address cannot be bound.
    """
    node = sidecar_application.SidecarApplication(settings=settings)
    serve.serve(
        node,
        instance=settings.instance,
        level=settings.log.level,
        stop_timeout_s=settings.grace,
        reload=lambda: reload(node, path),
        signals=signals,
        stream=log_stream.LogStream(descriptor=sys.stdout.fileno()),
    )


def reload(
    node: sidecar_application.SidecarApplication, path: pathlib.Path
) -> None:
    """Reload the settings; if they are invalid, keep the current ones."""
    try:
        settings = border.load_sidecar_settings(path)
    except border.InvalidFileError as error:
        logging.error(
            'settings not reloaded, keeping the current ones: %s', error
        )
        return
    node.reload(settings)
