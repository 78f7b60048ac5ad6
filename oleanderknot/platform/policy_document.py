"""Schema and parser of the traffic policy that operators set.

An entry that this version does not know is left out, and the rest is in
force. That is safe as long as it allows nothing that the whole document would
refuse. A route must not be left out: its requests would match a shorter
prefix and run at another service. Neither must the requirement of API keys,
so an organisation that cannot be parsed still counts as one.
"""

import typing

import pydantic

from oleanderknot import model
from oleanderknot.platform import bounded_number
from oleanderknot.platform import duration
from oleanderknot.platform import lenient_model
from oleanderknot.platform import message_headers

TABLE = 'op'
KEY = 'config'

# Kinds of routes whose requests may run more than once, and at most once.
# ``download`` and ``upload`` have large responses and large requests.
IDEMPOTENT_KINDS = ('safe', 'download')
KNOWN_KINDS = (*IDEMPOTENT_KINDS, 'unsafe', 'upload')

# Type of the entries that hold an organisation.
ORGANISATION_TYPE = 'tenants'
KNOWN_TYPES = ('routes', 'services', 'limits', ORGANISATION_TYPE)


class WeightedDestination(lenient_model.LenientModel):
    """One weighted destination of a route."""

    service: str
    weight: bounded_number.FiniteNumber


class RouteSpecification(lenient_model.LenientModel):
    """Specification of a route.

    Attributes:
        host: Host name of the requests.
        prefix: Path prefix.
        kind: Whether requests may be repeated. One that this version does
            not know is accepted; its requests are not repeated.
        timeout: Timeout of a request in seconds.
        targetLatency: Latency in seconds up to which a response has its full
            value.
        maxAttempts: Largest number of back ends that one request is sent to.
        priority: Priority; 0 is the highest.
        service: Destination of all requests.
        trafficSplit: Destinations with weights, in place of ``service``.
        allowAnonymous: Whether clients need no API key.
    """

    host: str
    prefix: typing.Annotated[str, pydantic.Field(pattern='^/(.*/)?$')]
    kind: str
    timeout: duration.Duration
    targetLatency: duration.Duration | None = None  # noqa: N815
    maxAttempts: bounded_number.PositiveInteger = 1  # noqa: N815
    priority: bounded_number.Integer = 0
    service: str = ''
    trafficSplit: tuple[WeightedDestination, ...] = ()  # noqa: N815
    allowAnonymous: bool = False  # noqa: N815


class ServiceSpecification(lenient_model.LenientModel):
    """Specification of a service.

    Attributes:
        healthCheckPath: Path for health checks.
    """

    healthCheckPath: str = ''  # noqa: N815


class LimitsSpecification(lenient_model.LenientModel):
    """Limits on client requests and connections.

    Attributes:
        maxHeaderBytes: Largest size of a request's header section.
        maxBodyBytes: Largest size of a request's body.
        headerTimeout: Time to receive the header section, in seconds.
        idleTimeout: Time after which an idle connection is closed, in
            seconds.
    """

    maxHeaderBytes: bounded_number.PositiveInteger  # noqa: N815
    maxBodyBytes: bounded_number.PositiveInteger  # noqa: N815
    headerTimeout: duration.Duration  # noqa: N815
    idleTimeout: duration.Duration  # noqa: N815


class OrganisationSpecification(lenient_model.LenientModel):
    """Specification of an organisation.

    Attributes:
        apiKeys: Keys with which its clients identify themselves.
        priority: Priority of its requests; that of the route by default.
        ratePerS: Requests per second on all nodes together; 0 for no limit.
        burst: Requests at once on top of the rate.
    """

    apiKeys: tuple[str, ...] = ()  # noqa: N815
    priority: bounded_number.Integer | None = None
    ratePerS: bounded_number.FiniteNumber = 0.0  # noqa: N815
    burst: bounded_number.FiniteNumber = 0.0


class Metadata(lenient_model.LenientModel):
    """Name of a resource."""

    name: str = ''


class RouteResource(lenient_model.LenientModel):
    """Resource that defines a route."""

    metadata: Metadata
    specification: RouteSpecification


class ServiceResource(lenient_model.LenientModel):
    """Resource that defines a service."""

    metadata: Metadata
    specification: ServiceSpecification


class LimitsResource(lenient_model.LenientModel):
    """Resource that defines the limits."""

    specification: LimitsSpecification


class OrganisationMetadata(lenient_model.LenientModel):
    """Name of an organisation, as upstreams receive it in a header."""

    name: typing.Annotated[str, pydantic.Field(pattern=r'^[!-~]+$')]


class OrganisationResource(lenient_model.LenientModel):
    """Resource that defines an organisation."""

    metadata: OrganisationMetadata
    specification: OrganisationSpecification


class Resource(lenient_model.LenientModel):
    """Type of a resource; its content is validated by the type's model."""

    model_config = pydantic.ConfigDict(extra='allow')

    resourceType: str  # noqa: N815


class PolicyDocument(lenient_model.LenientModel):
    """Policy document with all resources."""

    version: bounded_number.Version
    resources: tuple[Resource, ...]


def parse_policy(content: str) -> model.TrafficPolicy:
    """Parse a policy document.

    Raises:
        ValueError: The document is malformed.
    """
    document = PolicyDocument.model_validate_json(content)
    by_type: dict[str, list[dict[str, object]]] = {}
    for resource in document.resources:
        by_type.setdefault(resource.resourceType, []).append(
            resource.model_dump()
        )
    left_out = [
        'resources of type %r' % name
        for name in by_type
        if name not in KNOWN_TYPES
    ]
    route_items = [
        RouteResource.model_validate(entry)
        for entry in by_type.get('routes', ())
    ]
    routes = [
        build_route(item.metadata.name, item.specification)
        for item in route_items
    ]
    left_out += [
        'repeats of route %r, whose kind is unknown' % item.metadata.name
        for item in route_items
        if item.specification.kind not in KNOWN_KINDS
    ]
    services = map(ServiceResource.model_validate, by_type.get('services', ()))
    limits = model.ClientLimits()
    for item in map(LimitsResource.model_validate, by_type.get('limits', ())):
        limits = build_limits(item.specification)
    entries = by_type.get(ORGANISATION_TYPE, ())
    organisations = []
    for entry in entries:
        try:
            item = OrganisationResource.model_validate(entry)
        except pydantic.ValidationError:
            left_out.append('an organisation that is not valid')
            continue
        organisations.append(
            build_organisation(item.metadata.name, item.specification)
        )
    return model.TrafficPolicy(
        version=document.version,
        routes=tuple(routes),
        probe_paths={
            item.metadata.name: item.specification.healthCheckPath
            for item in services
        },
        limits=limits,
        organisations=tuple(organisations),
        requires_keys=bool(entries),
        left_out=tuple(left_out),
    )


def build_route(name: str, specification: RouteSpecification) -> model.Route:
    """Convert a route specification.

    Raises:
        ValueError: The route has no destination.
    """
    destinations = specification.trafficSplit or (
        WeightedDestination(service=specification.service, weight=1.0),
    )
    if not all(destination.service for destination in destinations):
        raise ValueError('route %r has no destination' % name)
    return model.Route(
        name=name,
        host=specification.host.lower(),
        prefix=specification.prefix,
        idempotent=specification.kind in IDEMPOTENT_KINDS,
        targets=tuple(
            model.RouteTarget(
                service=destination.service, weight=destination.weight
            )
            for destination in destinations
        ),
        timeout_s=specification.timeout,
        latency_target_s=specification.targetLatency or specification.timeout,
        max_attempts=specification.maxAttempts,
        priority=specification.priority,
        anonymous=specification.allowAnonymous,
    )


def build_limits(specification: LimitsSpecification) -> model.ClientLimits:
    """Convert a limits specification."""
    return model.ClientLimits(
        max_header_bytes=specification.maxHeaderBytes,
        max_body_bytes=specification.maxBodyBytes,
        header_timeout_s=specification.headerTimeout,
        idle_timeout_s=specification.idleTimeout,
    )


def build_organisation(
    name: str, specification: OrganisationSpecification
) -> model.Organisation:
    """Convert an organisation; of its keys, only the digests are kept."""
    return model.Organisation(
        name=name,
        key_digests=tuple(
            message_headers.digest_key(key.encode())
            for key in specification.apiKeys
            if key
        ),
        priority=specification.priority,
        rate=specification.ratePerS or None,
        burst=specification.burst,
    )
