"""Settings of a sidecar node, which a platform discovers and configures."""

import typing

import pydantic

from oleanderknot.border import base
from oleanderknot.border import client_settings
from oleanderknot.border import durations
from oleanderknot.border import log_settings
from oleanderknot.border import memory_settings


class SidecarAddresses(base.Model):
    """Addresses ``ip:port`` that a sidecar node listens on.

    Attributes:
        requests: For requests of clients and outgoing calls of the upstream.
        readiness: For readiness checks by the platform.
        heartbeats: For heartbeats of the local upstream.
        peers: For connections from other nodes.
        advertised_peers: Address announced to other nodes; defaults to
            ``peers``. Differs when a proxy sits between the nodes.
        metrics: For scraping metrics; None disables the listener.
    """

    requests: base.Address
    readiness: base.Address
    heartbeats: base.Address
    peers: base.Address
    advertised_peers: base.Address | None = None
    metrics: base.Address | None = None


class SidecarUpstream(base.Model):
    """The upstream on the same instance.

    Attributes:
        service: Service that the upstream provides.
        address: Address ``ip:port`` of the upstream.
        heartbeat_interval: Time between its heartbeats.
    """

    service: typing.Annotated[str, pydantic.Field(min_length=1)]
    address: base.Address
    heartbeat_interval: durations.Seconds = 1.5


class StoreSettings(base.Model):
    """Connection to the platform's store.

    Attributes:
        address: Address ``ip:port`` of the store.
        timeout: Response timeout.
    """

    address: base.Address
    timeout: durations.Seconds = 1.0


class RetrySettings(base.Model):
    """System-wide retry budget for requests to upstreams.

    Attributes:
        ratio: Retries allowed as a fraction of the requests for a service.
        slack: Retries allowed for a service regardless of its requests, in
            total across all nodes.
        window: Time window over which requests and retries are counted.
    """

    ratio: typing.Annotated[float, pydantic.Field(ge=0)] = 0.1
    slack: typing.Annotated[float, pydantic.Field(ge=0)] = 0.0
    window: durations.Seconds = 10.0


class SidecarSettings(base.Model):
    """Settings of one sidecar node.

    Attributes:
        instance: Name of the instance, unique across the system.
        data_centre: Data centre of the instance.
        data_centres: All data centres, of which each creates an equal part
            of the tokens of an organisation. If empty, those of the known
            nodes, which a node that has just started does not know yet.
        addresses: Addresses that the node listens on.
        upstream: The upstream on the same instance.
        store: The platform's store.
        retries: System-wide retry budget.
        grace: Time from SIGTERM until the process is killed.
        log: Level and rate limits of the log.
        remembered_refusals: Number of refused requests that the node remembers
            so that their clients come before newcomers when they return; 0
            turns this off.
        clients: Limits on connections of clients.
        memory: Bound on what the node holds for others.
        first_start: Whether the whole system starts for the first time.
    """

    instance: base.Name
    data_centre: base.Name
    data_centres: tuple[base.Name, ...] = ()
    addresses: SidecarAddresses
    upstream: SidecarUpstream
    store: StoreSettings
    retries: RetrySettings = RetrySettings()
    grace: durations.Seconds = 6.0
    log: log_settings.LogSettings = log_settings.LogSettings()
    remembered_refusals: typing.Annotated[int, pydantic.Field(ge=0)] = 0
    clients: client_settings.ClientSettings = client_settings.ClientSettings()
    memory: memory_settings.MemorySettings = memory_settings.MemorySettings()
    first_start: bool = False
