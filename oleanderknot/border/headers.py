"""Parses, formats and filters the HTTP headers of external requests."""

import collections.abc
import re

from oleanderknot import model

VERDICT = 'Oleanderknot-Verdict'
RULE = 'Oleanderknot-Rule'
TICKET = 'Oleanderknot-Ticket'
DEADLINE = 'Oleanderknot-Deadline-Ms'
IDEMPOTENCY_KEY = 'Idempotency-Key'
TRACEPARENT = 'traceparent'

MAX_HEADER_BYTES = 64 * 1024
MAX_KEY_CHARS = 200
MAX_DEADLINE_MS = 3_600_000

# Hop-by-hop headers (RFC 9110, 7.6.1) and headers that each hop sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'date',
        b'expect',
        b'host',
        b'keep-alive',
        b'oleanderknot-deadline-ms',
        b'proxy-connection',
        b'server',
        b'te',
        b'traceparent',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)

TRACEPARENT_PATTERN = re.compile(
    r'[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})'
)
KEY_PATTERN = re.compile(r'[!-~]{1,%d}' % MAX_KEY_CHARS)


def keep_end_to_end(
    raw: collections.abc.Iterable[tuple[bytes, bytes]],
) -> model.Headers:
    """Remove the hop-by-hop headers, including those named in ``Connection``.

    Args:
        raw: Names and values as received.

    Returns:
        The end-to-end headers, in their original order.
    """
    kept = [item for item in raw if item[0].lower() not in HOP_BY_HOP_HEADERS]
    connection_options = [
        option.strip().lower()
        for name, value in raw
        if name.lower() == b'connection'
        for option in value.split(b',')
    ]
    if len(connection_options) > 1 or (
        connection_options and connection_options[0] not in NON_HEADER_OPTIONS
    ):
        return [
            item for item in kept if item[0].lower() not in connection_options
        ]
    return kept


# Values of ``Connection`` for which no further header has to be removed.
NON_HEADER_OPTIONS = (b'keep-alive', b'close')


def parse_traceparent(text: str | None) -> tuple[str, str, bool] | None:
    """Parse a W3C ``traceparent`` header.

    Args:
        text: The header's value, or None when it is missing.

    Returns:
        Trace id, span id and the sampled flag; None when the header is
        missing or malformed.
    """
    if text is None:
        return None
    match = TRACEPARENT_PATTERN.match(text)
    if match is None:
        return None
    trace_id, span_id, flags = match.groups()
    if not trace_id.strip('0') or not span_id.strip('0'):
        return None
    return trace_id, span_id, bool(int(flags, 16) & 1)


def format_traceparent(trace_id: str, span_id: str, sampled: bool) -> str:
    """Format a W3C ``traceparent`` header."""
    return '00-%s-%s-%s' % (trace_id, span_id, '01' if sampled else '00')


def parse_deadline(text: str | None) -> int | None:
    """Parse the deadline header of a request.

    Args:
        text: The header's value, or None when it is missing.

    Returns:
        The deadline in milliseconds, or None when the header is missing.

    Raises:
        ValueError: The value is not an integer from 1 to 3600000.
    """
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise ValueError(
            '%s: found %r, expected a whole number of milliseconds'
            % (DEADLINE, text[:40])
        )
    value = int(text[:10])
    if not 1 <= value <= MAX_DEADLINE_MS:
        raise ValueError(
            '%s: found %d, expected 1 to %d'
            % (DEADLINE, value, MAX_DEADLINE_MS)
        )
    return value


def parse_idempotency_key(text: str | None) -> str:
    """Parse the idempotency key of a request.

    Args:
        text: The header's value, or None when it is missing.

    Returns:
        The key; empty when the header is missing.

    Raises:
        ValueError: The key is empty, too long or contains characters other
            than visible ASCII.
    """
    if text is None:
        return ''
    if KEY_PATTERN.fullmatch(text) is None:
        raise ValueError(
            '%s: expected 1 to %d visible ASCII characters'
            % (IDEMPOTENCY_KEY, MAX_KEY_CHARS)
        )
    return text
