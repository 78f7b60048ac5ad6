"""Encodes alerts as rows of the table service."""

import dataclasses

import pydantic

from oleanderknot import model
from oleanderknot.border import base

PREFIX = 'alert/'


class AlertRow(base.Model):
    """JSON value of an alert row; see ``model.Alert``."""

    id: str
    kind: model.AlertKind
    subject: str
    by: str
    data_centre: str
    at: float
    posted: bool = False
    acknowledged_by: str = ''
    acknowledged_at: float = pydantic.Field(default=0.0, ge=0)


def dump_alert(alert: model.Alert) -> str:
    """Serialize an alert to the value of its row."""
    return AlertRow(**dataclasses.asdict(alert)).model_dump_json()


def parse_alert(value: str) -> model.Alert:
    """Parse an alert from the value of a row.

    Raises:
        ValueError: The value is not a valid alert.
    """
    return model.Alert(**AlertRow.model_validate_json(value).model_dump())
