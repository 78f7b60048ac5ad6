"""Durations as the platform writes them: a number with its unit."""

import typing

import pydantic

UNITS = {'ms': 0.001, 's': 1.0}


def parse_duration(text: object) -> float:
    """Return the seconds that a text such as ``1500ms`` or ``2.5s`` says.

    Raises:
        ValueError: The text is no number with a unit.
    """
    if isinstance(text, str):
        for unit, seconds in UNITS.items():
            if text.endswith(unit):
                return float(text[: -len(unit)]) * seconds
    raise ValueError('expected a number with the unit ms or s')


Duration = typing.Annotated[
    float, pydantic.BeforeValidator(parse_duration), pydantic.Field(ge=0)
]
