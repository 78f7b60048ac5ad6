"""Formats counts, times and request classes for reports."""

import datetime

from oleanderknot import model

CLASS_NOUNS = {
    model.RequestClass.ORDER: ('order or booking', 'orders or bookings'),
    model.RequestClass.BROWSING: (
        'request of a browsing customer',
        'requests of browsing customers',
    ),
    model.RequestClass.DOWNLOAD: ('download', 'downloads'),
    model.RequestClass.INTERNAL: ('internal lookup', 'internal lookups'),
}


def format_count(number: int, singular: str, plural: str) -> str:
    """Return a number with its noun, such as ``1,200 downloads``."""
    return '{:,} {}'.format(number, singular if number == 1 else plural)


def format_class_count(number: int, kind: model.RequestClass) -> str:
    """Return a number of requests with the noun of their class."""
    return format_count(number, *CLASS_NOUNS[kind])


def join_list(parts: list[str]) -> str:
    """Join parts with commas and "and"."""
    if len(parts) < 2:
        return ''.join(parts)
    return '%s and %s' % (', '.join(parts[:-1]), parts[-1])


def format_time(epoch: float) -> str:
    """Return a wall-clock time as date and time of day in UTC."""
    moment = datetime.datetime.fromtimestamp(epoch, datetime.timezone.utc)
    return moment.strftime('%Y-%m-%d %H:%M:%S UTC')


def format_ticket(number: int) -> str:
    """Return the display name of a ticket; number 0 is the built-in policy."""
    return 'ticket %d' % number if number else 'the built-in policy'
