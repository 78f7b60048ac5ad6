"""Base class and field types shared by the validated models."""

import ipaddress
import typing

import pydantic


class Model(pydantic.BaseModel):
    """Immutable base of validated models that rejects unknown fields.

    Numbers that are not finite are rejected too, since comparisons and other
    readers of JSON fail on them.
    """

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, allow_inf_nan=False
    )


def check_address(text: str) -> str:
    """Validate an address of the form ``ip:port`` and return it unchanged.

    Raises:
        ValueError: The text is not an IP address with a port.
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        valid = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        raise ValueError('an IP address and a port, such as 10.0.0.5:7001')
    return text


# Range of the integers that the messages between nodes can hold.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1

Integer = typing.Annotated[int, pydantic.Field(ge=MIN_INTEGER, le=MAX_INTEGER)]
Count = typing.Annotated[int, pydantic.Field(ge=0, le=MAX_INTEGER)]
Port = typing.Annotated[
    int,
    pydantic.Field(
        ge=0, le=65535, description='a whole number from 0 to 65535'
    ),
]
Name = typing.Annotated[
    str,
    pydantic.Field(
        pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$',
        description='up to 63 lower-case letters, digits, dots and hyphens',
    ),
]
Host = typing.Annotated[
    pydantic.IPvAnyAddress, pydantic.Field(description='an IP address')
]
Url = typing.Annotated[
    str,
    pydantic.Field(
        pattern=r'^(https?://[^\s/]+.*)?$',
        description='an address that starts with http:// or https://',
    ),
]
Address = typing.Annotated[str, pydantic.AfterValidator(check_address)]
