"""Table row with addresses of nodes of one data centre."""

import typing

import pydantic

from oleanderknot.border import settings

PEER_ROW_PREFIX = 'peers/'

PeerAddress = typing.Annotated[
    str, pydantic.Field(pattern=r'^[0-9a-fA-F.:\[\]]{2,45}:[0-9]{1,5}$')
]


class PeerRow(settings.Model):
    """Addresses by which new nodes find others.

    Attributes:
        addresses: Peer addresses ``ip:port``.
    """

    addresses: typing.Annotated[
        tuple[PeerAddress, ...], pydantic.Field(max_length=64)
    ] = ()


def parse_peer_row(text: str) -> tuple[str, ...]:
    """Parse the value of a row.

    Args:
        text: The value; empty for an absent row.

    Returns:
        The addresses.

    Raises:
        ValueError: The value is malformed.
    """
    if not text:
        return ()
    return PeerRow.model_validate_json(text).addresses
