#!/bin/sh
# Prepares the stand-ins that the scripts of the cases 6 to 10 start. They are
# Python programs; the build of the deploy file has installed their libraries.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. python3 -c 'import oleanderknot.standins.row_server' &&
    python3 -m compileall -q review/support-2 oleanderknot/standins
