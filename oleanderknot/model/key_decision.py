"""Decision about a request that carries an order key."""

import enum


class KeyDecision(enum.Enum):
    """What the home of a key does with a request that carries it."""

    RUN = 'run'
    JOIN = 'join'
    SAME_RESULT = 'same_result'
    NOT_KEPT = 'not_kept'
    REFUSED = 'refused'
    OTHER_REQUEST = 'other_request'
    EXPIRED = 'expired'
    FULL = 'full'
