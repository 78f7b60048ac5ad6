"""Number of one life of a node."""

import secrets
import time


def build_incarnation() -> int:
    """Return a number that rises with each start of a node.

    Twenty random bits keep two starts in one millisecond apart.
    """
    return int(time.time() * 1000) << 20 | secrets.randbits(20)
