"""Importance of a request."""

import enum


class RequestClass(enum.IntEnum):
    """Orders requests by importance; the highest number is shed first."""

    ORDER = 0
    BROWSING = 1
    DOWNLOAD = 2
    INTERNAL = 3
