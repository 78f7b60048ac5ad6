"""Settings of traces."""

import typing

import pydantic

from oleanderknot.border import base


class TracingSettings(base.Model):
    """Where spans go and how many requests are recorded.

    Attributes:
        endpoint: Address of an OTLP collector over HTTP, such as
            ``http://127.0.0.1:4318/v1/traces``; empty records no spans.
        ratio: Share from 0 to 1 of the requests without a ``traceparent``
            of their own that are recorded.
    """

    endpoint: base.Url = ''
    ratio: typing.Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
