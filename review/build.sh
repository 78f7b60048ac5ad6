#!/bin/sh
# Builds the stand-ins of the cases; the deploy file's build comes first.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review oleanderknot/standins
