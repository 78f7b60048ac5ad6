"""Store row with the latest departure of an upstream of one instance."""

import typing

import pydantic

from oleanderknot import model
from oleanderknot.border import base


class DepartureRow(base.Model):
    """Departure that a node has acknowledged; see ``model.Departure``.

    Attributes:
        upstream: Id of the upstream.
        started_ms: Unix time in milliseconds of its start; 0 when unknown.
        sequence: Number of the heartbeat that announced the departure; None
            after a deregistration.
    """

    upstream: typing.Annotated[str, pydantic.Field(min_length=1)]
    started_ms: base.Count
    sequence: base.Count | None = None


def dump_departure(departure: model.Departure) -> str:
    """Return the value of the row of a departure."""
    return DepartureRow(
        upstream=departure.upstream,
        started_ms=departure.started_ms,
        sequence=departure.sequence,
    ).model_dump_json()


def parse_departure(text: str) -> model.Departure:
    """Parse the value of a row.

    Raises:
        ValueError: The value is malformed.
    """
    row = DepartureRow.model_validate_json(text)
    return model.Departure(
        upstream=row.upstream,
        started_ms=row.started_ms,
        sequence=row.sequence,
    )
