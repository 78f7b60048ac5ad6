"""Parses durations of the platform, which are a number with a unit."""

import typing

import pydantic

SECONDS_BY_UNIT = {'ms': 0.001, 's': 1.0}


def parse_duration(text: object) -> float:
    """Return a duration such as ``1500ms`` or ``2.5s`` in seconds.

    Raises:
        ValueError: The text is not a number with a known unit.
    """
    if isinstance(text, str):
        for unit, seconds in SECONDS_BY_UNIT.items():
            if text.endswith(unit):
                return float(text[: -len(unit)]) * seconds
    raise ValueError('duration is not a number with the unit ms or s')


Duration = typing.Annotated[
    float,
    pydantic.BeforeValidator(parse_duration),
    pydantic.Field(ge=0, allow_inf_nan=False),
]
