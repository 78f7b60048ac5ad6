"""Settings of alerts."""

import typing

import pydantic

from oleanderknot.border import base


class AlertSettings(base.Model):
    """Where alerts go.

    Attributes:
        webhook_url: Address that each alert is posted to as JSON; empty for
            none.
        retry_min_s: Seconds before the first repeat of a failed post.
        retry_max_s: Longest pause in seconds between two repeats.
        order_refusals_s: Seconds with refused orders after which an alert
            is raised.
        probe_s: Seconds between two looks at the table service.
    """

    webhook_url: base.Url = ''
    retry_min_s: typing.Annotated[float, pydantic.Field(gt=0, le=60)] = 1.0
    retry_max_s: typing.Annotated[float, pydantic.Field(gt=0, le=3600)] = 60.0
    order_refusals_s: typing.Annotated[
        float, pydantic.Field(gt=0, le=3600)
    ] = 60.0
    probe_s: typing.Annotated[float, pydantic.Field(gt=0, le=600)] = 5.0
