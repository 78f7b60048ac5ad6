"""Exception for invalid frames."""


class BadFrame(Exception):
    """Raised for an invalid frame of a peer; its connection must be closed."""
