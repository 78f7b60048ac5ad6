"""Outcome of one request of the demo."""

import enum


class Outcome(enum.Enum):
    """Outcome of a request, as its sender sees it.

    Attributes:
        WHOLE: The request got a complete, successful answer.
        NOT_RUN: The request was refused and did not run at any upstream.
        MAY_HAVE_RUN: The request failed after it may have run.
        FAILED: The request failed without a verdict.
    """

    WHOLE = 'whole'
    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'
    FAILED = 'failed'
