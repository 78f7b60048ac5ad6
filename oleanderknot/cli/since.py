"""Parses the value of the ``--since`` option."""

import datetime
import re

from oleanderknot.cli import common_options

DURATION_PATTERN = re.compile(r'([0-9]{1,6})([smhd])')
UNIT_SECONDS = {'s': 1, 'm': 60, 'h': 3600, 'd': 86400}


def parse_since(text: str, now: float) -> float:
    """Parse a relative or absolute time into a Unix timestamp.

    Args:
        text: Time before now such as ``8h``, or an ISO 8601 time; UTC if it
            has no offset.
        now: Current time as a Unix timestamp.

    Raises:
        UsageError: The text is not a valid time.
    """
    match = DURATION_PATTERN.fullmatch(text)
    if match:
        return now - int(match.group(1)) * UNIT_SECONDS[match.group(2)]
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise common_options.UsageError(
            '--since: found %r, allowed: a duration such as 30m, 8h or 2d, '
            'or a time such as 2026-12-04T06:00 (UTC)' % text
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.timezone.utc)
    return moment.timestamp()
