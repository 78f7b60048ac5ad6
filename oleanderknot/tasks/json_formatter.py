"""Formats log records as JSON lines and configures the process log."""

import datetime
import json
import logging

from absl import flags
from absl import logging as absl_logging

from oleanderknot import model
from oleanderknot.tasks import log_stream


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object.

    Attributes:
        instance: Name of the node's instance.
    """

    def __init__(self, *, instance: str) -> None:
        super().__init__()
        self.instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line; called by the log handler."""
        timestamp = datetime.datetime.fromtimestamp(
            record.created, datetime.timezone.utc
        )
        fields = {
            'time': timestamp.isoformat(timespec='milliseconds'),
            'level': record.levelname.lower(),
            'message': record.getMessage(),
            'instance': self.instance,
            **getattr(record, 'call_fields', {}),
        }
        if record.exc_info:
            fields['error'] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


def describe_call(
    call: model.Call, rule: model.Rule, verdict: model.Verdict
) -> dict[str, dict[str, object]]:
    """Return the ``extra`` argument for a log line about a call."""
    return {
        'call_fields': {
            'ticket': call.ticket,
            'verdict': verdict.value,
            'rule': rule.value,
            'class': call.request_class.name.lower(),
            'service': call.service,
            'trace': call.trace_id,
            'organisation': call.organisation,
            'rank': call.rank,
        }
    }


def set_up_log(
    *, instance: str, level: str, stream: log_stream.LogStream | None = None
) -> None:
    """Configure the process to log JSON lines.

    Args:
        instance: Name of the node's instance.
        level: Lowest level that is logged: debug, info, warning or error.
        stream: Destination of the lines; standard error by default.
    """
    if not flags.FLAGS.is_parsed():
        # absl prints a warning if it logs before its flags are parsed.
        flags.FLAGS(['oleanderknot'], known_only=True)
    absl_logging.use_absl_handler()
    absl_logging.get_absl_handler().setFormatter(
        JsonFormatter(instance=instance)
    )
    if stream is not None:
        absl_logging.get_absl_handler().python_handler.stream = stream
    absl_logging.set_verbosity(level)


def count_dropped_lines() -> int:
    """Return the number of log lines dropped because of a slow reader."""
    stream = absl_logging.get_absl_handler().python_handler.stream
    return getattr(stream, 'dropped', 0)
