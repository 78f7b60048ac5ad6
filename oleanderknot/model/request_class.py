"""Priority class of a request."""

import enum


class RequestClass(enum.IntEnum):
    """Priority class of a request; the highest number is shed first."""

    ORDER = 0
    BROWSING = 1
    DOWNLOAD = 2
    INTERNAL = 3
