"""Checks that a parsed value can be used wherever the product uses it."""

import collections.abc
import dataclasses
import math

MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1


def check_value(value: object) -> None:
    """Check all numbers and texts of a value.

    Numbers must fit into messages between nodes and into comparisons, and
    texts into UTF-8.

    Raises:
        AssertionError: A number or text is not usable.
    """
    if isinstance(value, int):
        assert MIN_INTEGER <= value <= MAX_INTEGER, value.bit_length()
    elif isinstance(value, float):
        assert math.isfinite(value), value
    elif isinstance(value, str):
        assert is_encodable(value), 'lone surrogate in %r' % value[:50]
    elif dataclasses.is_dataclass(value):
        for field in dataclasses.fields(value):
            check_value(getattr(value, field.name))
    elif isinstance(value, collections.abc.Mapping):
        check_value(list(value.items()))
    elif isinstance(value, (list, tuple)):
        for item in value:
            check_value(item)


def is_encodable(text: str) -> bool:
    """Return whether a text has a form in UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
