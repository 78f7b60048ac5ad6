"""State of an order key at its home."""

import enum


class OrderState(enum.Enum):
    """What the home of a key knows about it; the values go over the wire."""

    RUNNING = 'running'
    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
