"""Schema and parser of heartbeats and deregistrations of back ends."""

import ipaddress
import typing

import pydantic

from oleanderknot import model
from oleanderknot.border import base
from oleanderknot.platform import bounded_number
from oleanderknot.platform import duration
from oleanderknot.platform import lenient_model

INSTANCES_PATH = '/v1/instances/'
HEARTBEAT_ACTION = '/heartbeat'
DEREGISTER_ACTION = '/deregister'


class Heartbeat(lenient_model.LenientModel):
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
    address: base.Address
    state: typing.Literal['ready', 'draining']
    slots: typing.Annotated[int, pydantic.Field(ge=1, le=100000)]
    sequence: bounded_number.Integer
    coldRemaining: duration.Duration = 0.0  # noqa: N815
    born: bounded_number.Integer = 0


class Deregistration(lenient_model.LenientModel):
    """Body of a deregistration; it may be empty.

    Attributes:
        born: Start time of the process that ends, Unix time in
            milliseconds.
    """

    born: bounded_number.Integer = 0


def split_path(target: str) -> tuple[str, str]:
    """Split a request path into the id of the back end and the action.

    Args:
        target: Path of the request.

    Returns:
        The id and ``HEARTBEAT_ACTION`` or ``DEREGISTER_ACTION``; empty
        strings for any other path.
    """
    path = target.partition('?')[0]
    if path.startswith(INSTANCES_PATH):
        upstream, slash, action = path[len(INSTANCES_PATH) :].partition('/')
        if upstream and slash + action in (
            HEARTBEAT_ACTION,
            DEREGISTER_ACTION,
        ):
            return upstream, slash + action
    return '', ''


def parse_heartbeat(upstream: str, content: bytes) -> model.UpstreamHeartbeat:
    """Parse and validate a heartbeat.

    Args:
        upstream: Id of the back end, from the path.
        content: Body of the request.

    Raises:
        ValueError: A field is missing or invalid.
    """
    heartbeat = Heartbeat.model_validate_json(content)
    host, _, port = heartbeat.address.rpartition(':')
    return model.UpstreamHeartbeat(
        upstream=upstream,
        started_ms=heartbeat.born,
        sequence=heartbeat.sequence,
        service=heartbeat.service,
        host=str(ipaddress.ip_address(host)),
        port=int(port),
        slots=heartbeat.slots,
        draining=heartbeat.state == 'draining',
        warmup_remaining_s=heartbeat.coldRemaining,
    )


def parse_deregistration(content: bytes) -> int:
    """Return the start time in a deregistration; 0 when it has none.

    Raises:
        ValueError: The body is malformed.
    """
    if not content.strip():
        return 0
    return Deregistration.model_validate_json(content).born
