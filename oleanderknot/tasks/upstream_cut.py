"""Error of a connection that ended before the answer was complete."""


class UpstreamCutError(Exception):
    """Raised when the upstream's connection ends before the answer does.

    The message says how it ended.
    """
