"""Settings of traces."""

import typing

import pydantic

from oleanderknot.border import base


class TracingSettings(base.Model):
    """Export of spans and the sampling ratio.

    Attributes:
        endpoint: URL of an OTLP collector over HTTP, such as
            ``http://127.0.0.1:4318/v1/traces``; empty disables the recording
            of spans.
        ratio: Fraction from 0 to 1 of the requests without a ``traceparent``
            header that are recorded.
    """

    endpoint: base.Url = ''
    ratio: typing.Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
