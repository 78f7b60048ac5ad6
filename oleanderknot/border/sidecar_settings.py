"""Settings of a node on a platform that finds and configures it."""

import typing

import pydantic

from oleanderknot.border import base
from oleanderknot.border import log_settings


def parse_seconds(value: object) -> object:
    """Turn a text such as ``1500ms`` or ``6s`` into seconds.

    Raises:
        ValueError: The text has another form.
    """
    if not isinstance(value, str):
        return value
    number, unit = (
        (value[:-2], 1000)
        if value.endswith('ms')
        else (
            value.removesuffix('s'),
            1,
        )
    )
    try:
        return float(number) / unit
    except ValueError:
        raise ValueError('a number of seconds, or one with ms or s') from None


Seconds = typing.Annotated[
    float,
    pydantic.BeforeValidator(parse_seconds),
    pydantic.Field(gt=0, description='a time such as 2s or 1500ms'),
]


class SidecarAddresses(base.Model):
    """Addresses ``ip:port`` that a node listens on.

    Attributes:
        requests: For clients of this instance and calls of its upstream.
        readiness: For the platform's questions whether the node is ready.
        heartbeats: For the heartbeats of the own upstream.
        peers: For other nodes.
        advertised_peers: Address that other nodes are told; empty for that
            of ``peers``. It differs where a proxy stands in between.
        metrics: For metrics; empty for none.
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
        service: Service that it offers.
        address: Address ``ip:port`` of the upstream.
    """

    service: typing.Annotated[str, pydantic.Field(min_length=1)]
    address: base.Address


class StoreSettings(base.Model):
    """The platform's store.

    Attributes:
        address: Address ``ip:port``.
        timeout: Time to wait for an answer.
    """

    address: base.Address
    timeout: Seconds = 1.0


class RetrySettings(base.Model):
    """What all nodes together may send to upstreams more than once.

    Attributes:
        ratio: Repeats allowed as a share of the requests for a service.
        slack: Repeats allowed for a service whatever the requests, for all
            nodes together.
        window: Time that both are counted over.
    """

    ratio: typing.Annotated[float, pydantic.Field(ge=0)] = 0.1
    slack: typing.Annotated[int, pydantic.Field(ge=0)] = 0
    window: Seconds = 10.0


class SidecarSettings(base.Model):
    """Settings of one node.

    Attributes:
        instance: Name of the instance, unique in the whole system.
        data_centre: Data centre of the instance.
        addresses: Addresses that the node listens on.
        upstream: The upstream on the same instance.
        store: The platform's store.
        retries: Bound on repeats.
        grace: Time from SIGTERM until the process is killed.
        log: The log.
    """

    instance: base.Name
    data_centre: base.Name
    addresses: SidecarAddresses
    upstream: SidecarUpstream
    store: StoreSettings
    retries: RetrySettings = RetrySettings()
    grace: Seconds = 6.0
    log: log_settings.LogSettings = log_settings.LogSettings()
