"""Settings of the memory that a node holds for others."""

import typing

import pydantic

from oleanderknot.border import base

# Room for a body of 64 MiB and a response of 32 MiB to it that is being
# received, beside the part that is left to small requests.
DEFAULT_MAX_BYTES = 108 << 20


class MemorySettings(base.Model):
    """Bound on what a node holds for clients, upstreams and other nodes.

    Attributes:
        max_bytes: Maximum size in bytes of all request bodies, responses and
            queues together. The process itself takes about 50 MB beside it.
    """

    max_bytes: typing.Annotated[int, pydantic.Field(ge=1 << 20)] = (
        DEFAULT_MAX_BYTES
    )
