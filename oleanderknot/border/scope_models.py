"""Models of scope states as stored in ticket files and table rows."""

import typing

import pydantic

from oleanderknot import model
from oleanderknot.border import settings

REQUEST_CLASS_BY_NAME = {
    item.name.lower(): item for item in model.RequestClass
}

ClassName = typing.Literal['order', 'browsing', 'download', 'internal']
Method = typing.Literal[
    '*', 'GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE'
]


def required_field(allowed: str, **limits: typing.Any) -> typing.Any:
    """Build a required field; ``allowed`` is its text in diagnostics."""
    return pydantic.Field(description=allowed, **limits)


class GlobalScope(settings.Model):
    """State of the scope ``global``.

    Attributes:
        retry_ratio: Retries allowed to a node as a fraction of its successes.
        retry_minimum: Retries allowed in 10 s regardless of the successes.
    """

    retry_ratio: float = required_field(
        'a share from 0 to 1, such as 0.1', ge=0, le=1, allow_inf_nan=False
    )
    retry_minimum: int = required_field(
        'a whole number from 0 to 1000', ge=0, le=1000, strict=True
    )


class RouteScope(settings.Model):
    """One route of a service; see ``model.RoutePolicy``."""

    method: Method = required_field(
        'GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE, or "*" for all'
    )
    prefix: str = required_field(
        'a path that starts with /, at most 200 visible characters',
        pattern=r'^/[!-~]{0,199}$',
    )
    class_name: ClassName = required_field(
        'order, browsing, download or internal', alias='class'
    )
    idempotent: bool = required_field(
        'true if a second run does no harm, else false', strict=True
    )
    deadline_ms: int = required_field(
        'a whole number of milliseconds from 1 to 3600000',
        ge=1,
        le=3_600_000,
        strict=True,
    )
    retries: int = required_field(
        'a whole number from 0 to 10', ge=0, le=10, strict=True
    )


class ServiceScope(settings.Model):
    """State of a scope ``service/<name>``.

    Attributes:
        routes: Routes in order of precedence; the first match applies.
    """

    routes: tuple[RouteScope, ...] = required_field(
        'a list of 1 to 500 routes', min_length=1, max_length=500
    )


class UpstreamScope(settings.Model):
    """State of a scope ``upstream/<instance>``.

    Attributes:
        taking_work: Whether the upstream receives new requests.
    """

    taking_work: bool = required_field('true or false', strict=True)


ScopeModel = GlobalScope | ServiceScope | UpstreamScope
