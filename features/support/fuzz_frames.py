"""Generates frames of the protocol between nodes."""

import json
import pathlib

from thrift.Thrift import TType

from features.support import fuzz_json
from oleanderknot import wire

# One valid message of each kind that is translated to a data class.
MESSAGES = json.loads(
    pathlib.Path(__file__).with_name('fuzz_messages.json').read_text()
)

EXTREMES_BY_TYPE = {
    bool: (None, True),
    int: (None, 0, -1, 1, 999, 65536, -(2**31), 2**31 - 1),
    float: (None, float('nan'), float('inf'), float('-inf'), -1.0, 1e308),
    str: (None, '', '\0\r\n', '9' * 5000, '[' * 5000, '{"retry_ratio":1e999}'),
    list: (None, []),
    dict: (None, {}, {str(number): 1 for number in range(70)}),
}


def build_value(kind: int, arguments: object, value: object) -> object:
    """Build the value of a thrift field from JSON values."""
    if kind == TType.STRUCT and value is not None:
        specification = {
            item[2]: item for item in arguments[0].thrift_spec[1:]
        }
        return arguments[0](
            **{
                name: build_value(*specification[name][1:4:2], inner)
                for name, inner in value.items()
                if name in specification
            }
        )
    if kind == TType.LIST and value is not None:
        return [build_value(*arguments[:2], inner) for inner in value]
    if kind == TType.MAP and value is not None:
        # A map of thrift has no absent values.
        return {key: item for key, item in value.items() if item is not None}
    if arguments == 'BINARY' and value is not None:
        return value.encode()
    return value


def encode(message: dict[str, object]) -> bytes:
    """Encode a frame from JSON values."""
    frame = {'session': 1, 'call': 2, **message}
    return wire.encode(build_value(TType.STRUCT, [wire.Frame], frame))


def build_extremes() -> list[bytes]:
    """Replace each field of each message by each extreme of its type."""
    return [
        encode(fuzz_json.replace({name: MESSAGES[name]}, place, extreme))
        for name in MESSAGES
        for place, value in fuzz_json.list_places({name: MESSAGES[name]})
        for extreme in EXTREMES_BY_TYPE[type(value)]
        # A frame is there, and a list of thrift has no absent items.
        if place and (extreme is not None or not isinstance(place[-1], int))
    ]


VALID = [encode({name: message}) for name, message in MESSAGES.items()]
