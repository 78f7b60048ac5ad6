"""Error of a connection that ended before the response was complete."""


class ConnectionCutError(Exception):
    """Raised when the server's connection ends before the response does.

    The message says how it ended.
    """
