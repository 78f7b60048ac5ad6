"""Error of a frame that cannot be used."""


class BadFrame(Exception):
    """A peer sent bytes that are no valid frame; its connection must end."""
