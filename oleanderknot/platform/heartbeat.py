"""Schema and parser of heartbeats and deregistrations of back ends."""

import ipaddress
import typing

import pydantic

from oleanderknot import model
from oleanderknot.platform import duration
from oleanderknot.platform import loose_model

PREFIX = '/v1/instances/'
HEARTBEAT = '/heartbeat'
DEREGISTER = '/deregister'


class Heartbeat(loose_model.LooseModel):
    """Body of a heartbeat.

    Attributes:
        service: Service that the back end provides.
        address: IP address and port.
        state: Whether the back end accepts requests or is shutting down.
        slots: Number of requests that it can run concurrently.
        sequence: Number that rises with each call until the next restart.
        coldRemaining: Rest of the warm-up after a start, in seconds.
        born: Start time of the back end, Unix time in milliseconds.
    """

    service: typing.Annotated[str, pydantic.Field(min_length=1)]
    address: str
    state: typing.Literal['ready', 'draining']
    slots: typing.Annotated[int, pydantic.Field(ge=1, le=100000)]
    sequence: typing.Annotated[int, pydantic.Field(ge=0)]
    coldRemaining: duration.Duration = 0.0  # noqa: N815
    born: typing.Annotated[int, pydantic.Field(ge=0)] = 0


class Departure(loose_model.LooseModel):
    """Body of a deregistration; it may be empty.

    Attributes:
        born: Start time of the process that ends, Unix time in
            milliseconds.
    """

    born: typing.Annotated[int, pydantic.Field(ge=0)] = 0


def split_path(target: str) -> tuple[str, str]:
    """Split a request path into the id of the back end and the action.

    Args:
        target: Path of the request.

    Returns:
        The id and ``HEARTBEAT`` or ``DEREGISTER``; empty strings for any
        other path.
    """
    path = target.partition('?')[0]
    if path.startswith(PREFIX):
        upstream, slash, action = path[len(PREFIX) :].partition('/')
        if upstream and slash + action in (HEARTBEAT, DEREGISTER):
            return upstream, slash + action
    return '', ''


def parse_heartbeat(upstream: str, content: bytes) -> model.UpstreamReport:
    """Parse and validate a heartbeat.

    Args:
        upstream: Id of the back end, from the path.
        content: Body of the request.

    Raises:
        ValueError: A field is missing or invalid.
    """
    beat = Heartbeat.model_validate_json(content)
    host, _, port = beat.address.rpartition(':')
    return model.UpstreamReport(
        upstream=upstream,
        started_ms=beat.born,
        sequence=beat.sequence,
        service=beat.service,
        host=str(ipaddress.ip_address(host)),
        port=int(port),
        slots=beat.slots,
        draining=beat.state == 'draining',
        warming_s=beat.coldRemaining,
    )


def parse_departure(content: bytes) -> int:
    """Return the start time in a deregistration; 0 when it has none.

    Raises:
        ValueError: The body is malformed.
    """
    if not content.strip():
        return 0
    return Departure.model_validate_json(content).born
