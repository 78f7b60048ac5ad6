"""Settings of the log."""

import typing

import pydantic

from oleanderknot.border import base


class LogSettings(base.Model):
    """Level and rate limits of the log, which is written as JSON lines.

    Attributes:
        level: Minimum level that is logged.
        refusals_per_s: Maximum number of log lines per second about refused
            calls; further lines are omitted and counted.
        answers_per_s: Maximum number of log lines per second about answered
            calls, for a node on a platform.
    """

    level: typing.Literal['debug', 'info', 'warning', 'error'] = 'info'
    refusals_per_s: typing.Annotated[int, pydantic.Field(ge=0, le=1000)] = 10
    answers_per_s: typing.Annotated[int, pydantic.Field(ge=0, le=1000)] = 1
