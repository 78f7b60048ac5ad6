"""What came of one request of the demo."""

import enum


class Outcome(enum.Enum):
    """What came of one request."""

    WHOLE = 'whole'
    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'
    FAILED = 'failed'
