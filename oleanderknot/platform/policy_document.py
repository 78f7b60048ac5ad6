"""The operators' routes, services and limits as the store holds them."""

import typing

import pydantic

from oleanderknot import model
from oleanderknot.platform import duration
from oleanderknot.platform import loose_model

TABLE = 'op'
KEY = 'config'

Positive = typing.Annotated[int, pydantic.Field(ge=1)]


class SplitPart(loose_model.LooseModel):
    """One destination of a route whose requests are distributed."""

    service: str
    weight: typing.Annotated[float, pydantic.Field(ge=0)]


class RouteSpecification(loose_model.LooseModel):
    """Specification of a route.

    Attributes:
        host: Host that requests name.
        prefix: Path prefix.
        kind: What may be repeated; ``upload`` counts as ``unsafe``.
        timeout: Longest time in seconds that a request is kept waiting.
        targetLatency: Seconds within which an answer is of full use.
        maxAttempts: Most back ends that one request is sent to.
        priority: Rank; 0 is the highest.
        service: Destination of all requests.
        trafficSplit: Destinations with weights, in place of ``service``.
    """

    host: str
    prefix: typing.Annotated[str, pydantic.Field(pattern='^/(.*/)?$')]
    kind: typing.Literal['safe', 'unsafe', 'upload']
    timeout: duration.Duration
    targetLatency: duration.Duration | None = None  # noqa: N815
    maxAttempts: Positive = 1  # noqa: N815
    priority: typing.Annotated[int, pydantic.Field(ge=0)] = 0
    service: str = ''
    trafficSplit: tuple[SplitPart, ...] = ()  # noqa: N815


class ServiceSpecification(loose_model.LooseModel):
    """Specification of a service.

    Attributes:
        healthCheckPath: Path that answers probes.
    """

    healthCheckPath: str = ''  # noqa: N815


class LimitsSpecification(loose_model.LooseModel):
    """Limits on what clients may send.

    Attributes:
        maxHeaderBytes: Most bytes of a request's head.
        maxBodyBytes: Most bytes of a request's body.
        headerTimeout: Seconds for the head of a request.
        idleTimeout: Seconds for which a connection may idle.
    """

    maxHeaderBytes: Positive  # noqa: N815
    maxBodyBytes: Positive  # noqa: N815
    headerTimeout: duration.Duration  # noqa: N815
    idleTimeout: duration.Duration  # noqa: N815


class Metadata(loose_model.LooseModel):
    """Name of a resource."""

    name: str = ''


class RouteResource(loose_model.LooseModel):
    """Entry of the list that is a route."""

    resourceType: typing.Literal['routes']  # noqa: N815
    metadata: Metadata
    specification: RouteSpecification


class ServiceResource(loose_model.LooseModel):
    """Entry of the list that is a service."""

    resourceType: typing.Literal['services']  # noqa: N815
    metadata: Metadata
    specification: ServiceSpecification


class LimitsResource(loose_model.LooseModel):
    """Entry of the list that holds the limits."""

    resourceType: typing.Literal['limits']  # noqa: N815
    specification: LimitsSpecification


Resource = typing.Annotated[
    RouteResource | ServiceResource | LimitsResource,
    pydantic.Field(discriminator='resourceType'),
]


class PolicyDocument(loose_model.LooseModel):
    """The whole document."""

    version: typing.Annotated[int, pydantic.Field(ge=0)]
    resources: tuple[Resource, ...]


def parse_policy(content: str) -> model.TrafficPolicy:
    """Decode the operators' document.

    Raises:
        ValueError: The document is malformed.
    """
    document = PolicyDocument.model_validate_json(content)
    routes = []
    probe_paths = {}
    limits = model.ClientLimits()
    for resource in document.resources:
        if isinstance(resource, RouteResource):
            routes.append(
                build_route(resource.metadata.name, resource.specification)
            )
        elif isinstance(resource, ServiceResource):
            probe_paths[resource.metadata.name] = (
                resource.specification.healthCheckPath
            )
        else:
            limits = build_limits(resource.specification)
    return model.TrafficPolicy(
        version=document.version,
        routes=tuple(routes),
        probe_paths=probe_paths,
        limits=limits,
    )


def build_route(name: str, specification: RouteSpecification) -> model.Route:
    """Build a route of the traffic policy.

    Raises:
        ValueError: The route has no destination.
    """
    parts = specification.trafficSplit or (
        SplitPart(service=specification.service, weight=1.0),
    )
    if not all(part.service for part in parts):
        raise ValueError('route %r has no destination' % name)
    return model.Route(
        name=name,
        host=specification.host.lower(),
        prefix=specification.prefix,
        idempotent=specification.kind == 'safe',
        targets=tuple(
            model.RouteTarget(service=part.service, weight=part.weight)
            for part in parts
        ),
        timeout_s=specification.timeout,
        latency_target_s=specification.targetLatency or specification.timeout,
        max_attempts=specification.maxAttempts,
        priority=specification.priority,
    )


def build_limits(specification: LimitsSpecification) -> model.ClientLimits:
    """Build the limits of the traffic policy."""
    return model.ClientLimits(
        max_header_bytes=specification.maxHeaderBytes,
        max_body_bytes=specification.maxBodyBytes,
        header_timeout_s=specification.headerTimeout,
        idle_timeout_s=specification.idleTimeout,
    )
