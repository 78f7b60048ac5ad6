"""Settings of a node."""

import typing

import pydantic

Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')
]


class Model(pydantic.BaseModel):
    """Base of all validated models: unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ListenSettings(Model):
    """Addresses that a node listens on; port 0 takes a free one.

    Attributes:
        host: IP address for callers and other nodes.
        caller_port: TCP port for callers.
        peer_port: TCP port for other nodes.
        advertised_host: IP address that other nodes are told; None for
            ``host``.
        advertised_peer_port: TCP port that other nodes are told; 0 for
            ``peer_port``.
        egress_host: IP address for the outgoing calls of the own upstream.
        egress_port: TCP port for the outgoing calls of the own upstream.
        operator_host: IP address for operators.
        operator_port: TCP port for operators.
    """

    host: pydantic.IPvAnyAddress = pydantic.Field(
        default='127.0.0.1', validate_default=True
    )
    caller_port: Port = 0
    peer_port: Port = 0
    advertised_host: pydantic.IPvAnyAddress | None = None
    advertised_peer_port: Port = 0
    egress_host: pydantic.IPvAnyAddress = pydantic.Field(
        default='127.0.0.1', validate_default=True
    )
    egress_port: Port = 0
    operator_host: pydantic.IPvAnyAddress = pydantic.Field(
        default='127.0.0.1', validate_default=True
    )
    operator_port: Port = 0


class UpstreamSettings(Model):
    """An upstream that cannot announce itself.

    Attributes:
        service: Service that it offers.
        host: IP address of the upstream.
        port: TCP port of the upstream.
        slots: Calls that it can run at once.
        warm: Whether it can take its full load at once; otherwise the load
            rises slowly after the announcement.
    """

    service: Name
    host: pydantic.IPvAnyAddress
    port: typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
    slots: typing.Annotated[int, pydantic.Field(ge=1, le=100000)]
    warm: bool = False


class PlatformSettings(Model):
    """Addresses of the platform's services.

    Attributes:
        table_url: Address of the table service; empty for none.
        object_url: Address of the object store; empty for none.
        timeout_ms: Milliseconds to wait for an answer.
    """

    table_url: str = ''
    object_url: str = ''
    timeout_ms: typing.Annotated[int, pydantic.Field(ge=1, le=60000)] = 1000


class NodeSettings(Model):
    """Settings of one node.

    Attributes:
        instance: Name of the instance, unique in the whole system.
        data_centre: Data centre of the instance.
        listen: Addresses to listen on.
        platform: Addresses of the platform's services.
        upstream: The upstream, if it cannot announce itself.
        seeds: Peer addresses ``ip:port`` of a few other nodes, tried first.
        drain_timeout_s: Seconds that a planned stop waits for requests in
            flight.
        control: Whether the node controls load; a node that does not only
            forwards, which serves to measure what control is worth.
    """

    instance: Name
    data_centre: Name
    listen: ListenSettings = ListenSettings()
    platform: PlatformSettings = PlatformSettings()
    upstream: UpstreamSettings | None = None
    seeds: tuple[str, ...] = ()
    drain_timeout_s: typing.Annotated[float, pydantic.Field(gt=0)] = 900.0
    control: bool = True
