"""Whether a call adds to the repeats that its service receives."""

import enum


class RepeatKind(enum.IntEnum):
    """Relation of a call to earlier ones; higher values prevail.

    A nested call belongs to a run that is itself a repeat. It counts as a
    repeat but is not refused for it, since that would waste the run.
    """

    FIRST = 0
    NESTED = 1
    REPEAT = 2
