"""Table row with the peer addresses of one data centre."""

import typing

import pydantic

from oleanderknot.border import settings

PEER_ROW_PREFIX = 'peers/'

PeerAddress = typing.Annotated[
    str, pydantic.Field(pattern=r'^[0-9a-fA-F.:\[\]]{2,45}:[0-9]{1,5}$')
]


class PeerRow(settings.Model):
    """Addresses through which new nodes discover existing ones.

    Attributes:
        addresses: Peer addresses in the form ``ip:port``.
    """

    addresses: typing.Annotated[
        tuple[PeerAddress, ...], pydantic.Field(max_length=64)
    ] = ()


def parse_peer_row(text: str) -> tuple[str, ...]:
    """Parse the value of a peer row.

    Args:
        text: The value; empty if the row does not exist.

    Returns:
        The addresses.

    Raises:
        ValueError: The value is malformed.
    """
    if not text:
        return ()
    return PeerRow.model_validate_json(text).addresses
