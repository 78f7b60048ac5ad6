"""Settings of the connections of clients."""

import typing

import pydantic

from oleanderknot.border import base
from oleanderknot.border import durations


class ClientSettings(base.Model):
    """Limits on connections of clients, beside those of the policy.

    Attributes:
        max_connections: Maximum number of open connections of a listener. At
            this number the oldest one that has not sent a whole request head,
            or a slow one, is closed for a new one.
        progress_period: Time in which a client that sends a body or receives
            a response must transfer ``progress_bytes``; otherwise it is
            disconnected.
        progress_bytes: Bytes that a client must transfer in
            ``progress_period``.
    """

    max_connections: typing.Annotated[int, pydantic.Field(ge=1)] = 1024
    progress_period: durations.Seconds = 15.0
    progress_bytes: typing.Annotated[int, pydantic.Field(ge=1)] = 64
