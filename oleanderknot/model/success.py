"""Results of calls that got an answer."""

import typing

from expression import Ok
from expression import Result

Value = typing.TypeVar('Value')

# Attributes of a successful result, as the library sets them.
OK_ATTRIBUTES = vars(Ok(None))


def build_success(value: Value) -> Result[Value, typing.Any]:
    """Build the same result as ``Ok``, without the checks of its cases.

    Each call builds one at two nodes, and ``Ok`` takes as long as the
    decoding of a frame.

    Args:
        value: Value of the result.

    Returns:
        The result.
    """
    result = Result.__new__(Result)
    attributes = vars(result)
    attributes.update(OK_ATTRIBUTES)
    attributes['ok'] = value
    return result
