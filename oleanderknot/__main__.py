"""Entry point of ``python -m oleanderknot``."""

import sys

from oleanderknot.cli import main

sys.exit(main.main())
