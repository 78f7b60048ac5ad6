"""Whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """Whether a request may have run at an upstream.

    The values are sent in the ``Oleanderknot-Verdict`` header.
    """

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    ANSWERED = 'answered'
