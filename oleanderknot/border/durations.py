"""Durations in settings."""

import typing

import pydantic


def parse_seconds(value: object) -> object:
    """Convert a duration such as ``1500ms`` or ``6s`` to seconds.

    Raises:
        ValueError: The text is not a valid duration.
    """
    if not isinstance(value, str):
        return value
    number, unit = (
        (value[:-2], 1000)
        if value.endswith('ms')
        else (
            value.removesuffix('s'),
            1,
        )
    )
    try:
        return float(number) / unit
    except ValueError:
        raise ValueError(
            'a number of seconds, or a number with ms or s'
        ) from None


Seconds = typing.Annotated[
    float,
    pydantic.BeforeValidator(parse_seconds),
    pydantic.Field(gt=0, description='a time such as 2s or 1500ms'),
]
