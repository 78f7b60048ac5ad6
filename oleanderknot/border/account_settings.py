"""Settings of the account of decisions."""

import typing

import pydantic

from oleanderknot.border import base


class AccountSettings(base.Model):
    """How the account of decisions is written to the object store.

    Attributes:
        period_s: Interval between batches in seconds.
        max_held: Maximum number of batches buffered while the object store
            is unavailable; further batches are dropped and counted.
    """

    period_s: typing.Annotated[float, pydantic.Field(gt=0, le=3600)] = 30.0
    max_held: typing.Annotated[int, pydantic.Field(ge=1, le=256)] = 256
