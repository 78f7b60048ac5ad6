"""Settings of the log."""

import typing

import pydantic

from oleanderknot.border import base


class LogSettings(base.Model):
    """Settings of the log, JSON lines.

    Attributes:
        level: Lowest level that is logged.
        refusals_per_s: Lines about refused calls each second; the others
            are counted and left out.
        answers_per_s: Lines about answered calls each second, of a node on
            a platform.
    """

    level: typing.Literal['debug', 'info', 'warning', 'error'] = 'info'
    refusals_per_s: typing.Annotated[int, pydantic.Field(ge=0, le=1000)] = 10
    answers_per_s: typing.Annotated[int, pydantic.Field(ge=0, le=1000)] = 1
