"""Generates the incarnation number of a node."""

import secrets
import time


def build_incarnation() -> int:
    """Return an incarnation number that increases with each start of a node.

    It is the time in milliseconds, followed by twenty random bits that
    distinguish two starts within one millisecond.
    """
    return int(time.time() * 1000) << 20 | secrets.randbits(20)
