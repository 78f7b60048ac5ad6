"""Decision about a request that carries an order key."""

import enum


class KeyDecision(enum.Enum):
    """How the home node of a key handles a request with that key."""

    RUN = 'run'
    JOIN = 'join'
    SAME_RESULT = 'same_result'
    NOT_KEPT = 'not_kept'
    REFUSED = 'refused'
    OTHER_REQUEST = 'other_request'
    EXPIRED = 'expired'
    FULL = 'full'
