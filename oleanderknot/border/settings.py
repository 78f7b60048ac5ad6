"""Settings of a node."""

import typing

import pydantic

from oleanderknot.border import account_settings
from oleanderknot.border import alert_settings
from oleanderknot.border import base
from oleanderknot.border import log_settings
from oleanderknot.border import statsd_settings
from oleanderknot.border import tls_settings
from oleanderknot.border import tracing_settings

# Other border modules build on the same base.
Model = base.Model
Name = base.Name
Port = base.Port


class ListenSettings(base.Model):
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

    host: base.Host = pydantic.Field(
        default='127.0.0.1', validate_default=True
    )
    caller_port: base.Port = 0
    peer_port: base.Port = 0
    advertised_host: base.Host | None = None
    advertised_peer_port: base.Port = 0
    egress_host: base.Host = pydantic.Field(
        default='127.0.0.1', validate_default=True
    )
    egress_port: base.Port = 0
    operator_host: base.Host = pydantic.Field(
        default='127.0.0.1', validate_default=True
    )
    operator_port: base.Port = 0


class UpstreamSettings(base.Model):
    """An upstream that cannot announce itself.

    Attributes:
        service: Service that it offers.
        host: IP address of the upstream.
        port: TCP port of the upstream.
        slots: Calls that it can run at once.
        warm: Whether it can take its full load at once; otherwise the load
            rises slowly after the announcement.
    """

    service: base.Name
    host: base.Host
    port: typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
    slots: typing.Annotated[int, pydantic.Field(ge=1, le=100000)]
    warm: bool = False


class PlatformSettings(base.Model):
    """Addresses of the platform's services.

    Attributes:
        table_url: Address of the table service; empty for none.
        object_url: Address of the object store; empty for none.
        timeout_ms: Milliseconds to wait for an answer.
    """

    table_url: base.Url = ''
    object_url: base.Url = ''
    timeout_ms: typing.Annotated[int, pydantic.Field(ge=1, le=60000)] = 1000


class NodeSettings(base.Model):
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
        log: The log.
        statsd: Where metrics go.
        account: How the account of decisions is written.
        alerts: Where alerts go.
        tracing: Where spans go.
        tls: Mutual TLS between nodes; needed beyond loopback.
        operator_token: Secret that operators send as ``Authorization:
            Bearer``; needed beyond loopback, empty for none.
    """

    instance: base.Name
    data_centre: base.Name
    listen: ListenSettings = ListenSettings()
    platform: PlatformSettings = PlatformSettings()
    upstream: UpstreamSettings | None = None
    seeds: tuple[base.Address, ...] = ()
    drain_timeout_s: typing.Annotated[float, pydantic.Field(gt=0)] = 900.0
    control: bool = True
    log: log_settings.LogSettings = log_settings.LogSettings()
    statsd: statsd_settings.StatsdSettings = statsd_settings.StatsdSettings()
    account: account_settings.AccountSettings = (
        account_settings.AccountSettings()
    )
    alerts: alert_settings.AlertSettings = alert_settings.AlertSettings()
    tracing: tracing_settings.TracingSettings = (
        tracing_settings.TracingSettings()
    )
    tls: tls_settings.TlsSettings | None = None
    operator_token: typing.Annotated[
        str,
        pydantic.Field(
            pattern=r'^([!-~]{16,200})?$',
            description='16 to 200 visible ASCII characters',
        ),
    ] = ''
