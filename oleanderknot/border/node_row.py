"""Store row by which nodes discover each other."""

import typing

import pydantic

from oleanderknot.border import base


class NodeRow(base.Model):
    """Address at which a node accepts connections from other nodes.

    Fields of later versions are ignored, so that nodes of two versions find
    each other.

    Attributes:
        host: IP address.
        port: TCP port.
        data_centre: Data centre of the node; empty in rows of versions
            without this field.
    """

    model_config = pydantic.ConfigDict(extra='ignore')

    host: base.Host
    port: base.Port
    data_centre: typing.Annotated[str, pydantic.Field(max_length=200)] = ''
