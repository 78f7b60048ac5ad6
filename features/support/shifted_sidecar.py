"""Runs a sidecar whose time of day is wrong.

Usage: ``python -m features.support.shifted_sidecar SECONDS SETTINGS``
"""

import sys
import time

from oleanderknot.cli import serve_sidecar


def main() -> int:
    """Shift the time of day and run the node."""
    shift_s = float(sys.argv[1])
    read_time = time.time
    time.time = lambda: read_time() + shift_s
    return serve_sidecar.serve_sidecar(sys.argv[2])


if __name__ == '__main__':
    sys.exit(main())
