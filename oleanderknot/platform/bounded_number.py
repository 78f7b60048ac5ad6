"""Number types of the platform's messages, without values too large."""

import typing

import pydantic

# Largest integer that all readers of JSON agree on (RFC 8259, section 6). As a
# sequence or a start time, a larger one would hide all later heartbeats.
MAX_INTEGER = 2**53 - 1

# Largest version that the messages between nodes can hold.
MAX_VERSION = 2**63 - 1

Integer = typing.Annotated[int, pydantic.Field(ge=0, le=MAX_INTEGER)]
PositiveInteger = typing.Annotated[int, pydantic.Field(ge=1, le=MAX_INTEGER)]
Version = typing.Annotated[int, pydantic.Field(ge=0, le=MAX_VERSION)]
FiniteNumber = typing.Annotated[
    float, pydantic.Field(ge=0, allow_inf_nan=False)
]
