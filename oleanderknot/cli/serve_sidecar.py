"""Runs a sidecar node; also a program of its own.

``python -m oleanderknot.cli.serve_sidecar`` does the same as ``oleanderknot
sidecar`` without the command-line library, whose import takes a tenth of the
processor time of a start.
"""

import gc
import os
import pathlib
import signal
import sys

from oleanderknot.node import signal_record

SETTINGS_VARIABLE = 'OLEANDERKNOT_BOOT'


def serve_sidecar(path: str | None) -> int:
    """Run a node until SIGTERM, then drain and stop it.

    Args:
        path: Settings file; None for the one that the environment names.

    Returns:
        The exit code: 0 after a planned stop, 2 if the settings are invalid.
    """
    signals = signal_record.SignalRecord()
    signals.install((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print('no settings file was given', file=sys.stderr)
        return 2
    # Modules live as long as the process, so collections during their import
    # free nothing and take a seventh of its time.
    gc.disable()
    from oleanderknot import border
    from oleanderknot.node import run_sidecar

    file = pathlib.Path(path)
    try:
        settings = border.load_sidecar_settings(file)
    except border.InvalidFileError as error:
        print(error, file=sys.stderr)
        return 2
    run_sidecar.run_sidecar(settings, file, signals)
    return 0


if __name__ == '__main__':
    sys.exit(serve_sidecar(sys.argv[1] if len(sys.argv) > 1 else None))
