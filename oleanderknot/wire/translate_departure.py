"""Converts departures of upstreams to and from thrift structs."""

from oleanderknot import model
from oleanderknot.wire import field_check
from oleanderknot.wire.gen.peer import ttypes


def departure_to_wire(
    departure: model.Departure | None,
) -> ttypes.Departure | None:
    """Convert a departure to a thrift struct."""
    if departure is None:
        return None
    return ttypes.Departure(
        upstream=departure.upstream,
        started_ms=departure.started_ms,
        sequence=departure.sequence,
    )


def departure_from_wire(
    message: ttypes.Departure | None,
) -> model.Departure | None:
    """Convert a thrift struct to a departure, and validate it.

    Raises:
        BadFrame: The upstream or its start is missing.
    """
    if message is None:
        return None
    field_check.require(
        bool(message.upstream), 'departure without an upstream'
    )
    field_check.require(
        message.started_ms is not None, 'departure without a start'
    )
    return model.Departure(
        upstream=message.upstream,
        started_ms=message.started_ms,
        sequence=message.sequence,
    )
