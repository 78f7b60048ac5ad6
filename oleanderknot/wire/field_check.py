"""Validation of the fields of received structs."""

from oleanderknot.wire import bad_frame


def require(condition: object, message: str) -> None:
    """Raise BadFrame with a message unless the condition holds."""
    if not condition:
        raise bad_frame.BadFrame(message)
