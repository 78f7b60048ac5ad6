"""Reads points in time from the command line."""

import datetime
import re

from oleanderknot.cli import ticket_options

BACK = re.compile(r'([0-9]{1,6})([smhd])')
UNIT_S = {'s': 1, 'm': 60, 'h': 3600, 'd': 86400}


def parse_since(text: str, now: float) -> float:
    """Return a time in seconds since 1970 (UTC).

    Args:
        text: Time back from now such as ``8h``, or a time in ISO form; UTC
            when it names no zone.
        now: Wall-clock time in seconds since 1970 (UTC).

    Raises:
        UsageError: The text is no time.
    """
    match = BACK.fullmatch(text)
    if match:
        return now - int(match.group(1)) * UNIT_S[match.group(2)]
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise ticket_options.UsageError(
            '--since: found %r, allowed: a time back such as 30m, 8h or 2d, '
            'or a time such as 2026-12-04T06:00 (UTC)' % text
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.timezone.utc)
    return moment.timestamp()
