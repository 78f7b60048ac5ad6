"""Settings of alerts."""

import typing

import pydantic

from oleanderknot.border import base


class AlertSettings(base.Model):
    """Delivery of alerts and the conditions that raise them.

    Attributes:
        webhook_url: URL to which each alert is posted as JSON; empty disables
            posting.
        retry_min_s: Delay in seconds before the first retry of a failed post.
        retry_max_s: Maximum delay in seconds between retries.
        order_refusals_s: Duration in seconds of continued order refusals
            after which an alert is raised.
        probe_s: Interval in seconds between availability probes of the table
            service.
    """

    webhook_url: base.Url = ''
    retry_min_s: typing.Annotated[float, pydantic.Field(gt=0, le=60)] = 1.0
    retry_max_s: typing.Annotated[float, pydantic.Field(gt=0, le=3600)] = 60.0
    order_refusals_s: typing.Annotated[
        float, pydantic.Field(gt=0, le=3600)
    ] = 60.0
    probe_s: typing.Annotated[float, pydantic.Field(gt=0, le=600)] = 5.0
