"""Log lines about the life of a node on a platform."""

from absl import logging


def log_event(event: str, message: str, **fields: object) -> None:
    """Write one line about an event of the node's life.

    Args:
        event: Name of the event, by which operators search.
        message: What happened.
        fields: What was in flight or in force.
    """
    logging.info(
        '%s', message, extra={'call_fields': {'event': event, **fields}}
    )
