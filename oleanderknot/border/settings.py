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

# Re-exported for the other modules of this package.
Model = base.Model
Name = base.Name
Port = base.Port


class ListenSettings(base.Model):
    """Addresses that a node listens on; port 0 selects a free port.

    Attributes:
        host: IP address for connections of callers and other nodes.
        caller_port: TCP port for callers.
        peer_port: TCP port for other nodes.
        advertised_host: IP address announced to other nodes; defaults to
            ``host``.
        advertised_peer_port: TCP port announced to other nodes; 0 uses
            ``peer_port``.
        egress_host: IP address for the outgoing calls of the local upstream.
        egress_port: TCP port for the outgoing calls of the local upstream.
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
    """Address and capacity of an upstream.

    Attributes:
        service: Service that the upstream provides.
        host: IP address of the upstream.
        port: TCP port of the upstream.
        slots: Maximum number of concurrent calls.
        warm: Whether the upstream can take full load immediately; otherwise
            the load is increased gradually after the announcement.
    """

    service: base.Name
    host: base.Host
    port: typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
    slots: typing.Annotated[int, pydantic.Field(ge=1, le=100000)]
    warm: bool = False


class PlatformSettings(base.Model):
    """Addresses of the platform's services.

    Attributes:
        table_url: URL of the table service; empty for none.
        object_url: URL of the object store; empty for none.
        timeout_ms: Response timeout in milliseconds.
    """

    table_url: base.Url = ''
    object_url: base.Url = ''
    timeout_ms: typing.Annotated[int, pydantic.Field(ge=1, le=60000)] = 1000


class NodeSettings(base.Model):
    """Settings of one node.

    Attributes:
        instance: Name of the instance, unique across the system.
        data_centre: Data centre of the instance.
        listen: Addresses to listen on.
        platform: Addresses of the platform's services.
        upstream: The local upstream, if it cannot announce itself.
        seeds: Peer addresses ``ip:port`` of some other nodes, tried first when
            searching for peers.
        drain_timeout_s: Maximum time in seconds that a graceful stop waits for
            requests in flight.
        control: Whether overload control is enabled. When it is disabled the
            node only forwards, as a baseline for measuring the effect of
            control.
        log: Level and rate limits of the log.
        statsd: Destination of metrics.
        account: How the account of decisions is written.
        alerts: Delivery of alerts and the conditions that raise them.
        tracing: Export of spans and the sampling ratio.
        tls: Mutual TLS between nodes; required beyond loopback.
        operator_token: Secret that operators send as ``Authorization:
            Bearer``; required beyond loopback, empty for none.
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
