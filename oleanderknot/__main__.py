"""Runs the command line by ``python -m oleanderknot``."""

import sys

from oleanderknot.cli import main

sys.exit(main.main())
