"""Logs life-cycle events of a sidecar node."""

from absl import logging


def log_event(event: str, message: str, **fields: object) -> None:
    """Log one life-cycle event of the node.

    Args:
        event: Name of the event, which operators search the log for.
        message: What happened.
        fields: Extra fields of the log line.
    """
    logging.info(
        '%s', message, extra={'call_fields': {'event': event, **fields}}
    )
