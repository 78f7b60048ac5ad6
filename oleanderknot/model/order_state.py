"""State of an order key at its home node."""

import enum


class OrderState(enum.Enum):
    """State of a key at its home node; the values are sent on the wire."""

    RUNNING = 'running'
    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
