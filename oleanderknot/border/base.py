"""Base of all validated models."""

import typing

import pydantic

Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')
]


class Model(pydantic.BaseModel):
    """Base of all validated models: unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)
