"""Frames with one message, for encoding."""

import typing

from oleanderknot.wire.gen.peer import ttypes

# Number of the field of the call in a frame; messages follow it.
CALL_FIELD = 2


class Envelope:
    """Frame with one message.

    A generated frame has an attribute for each kind of message, and all of
    them are set and looked up for each frame that is sent.

    Attributes:
        session: Session number of the connection.
        call: Number of the call; 0 for a control message.
        message: The message.
    """

    __slots__ = ('session', 'call', 'message')

    def __init__(
        self, *, session: int, call: int, message: typing.Any
    ) -> None:
        self.session = session
        self.call = call
        self.message = message


def build_types() -> dict[str, list[typing.Any]]:
    """Build the arguments of the C extension for each kind of message.

    Returns:
        Class and fields of an envelope by the name of the message in
        a frame. Field numbers and types are those of the generated frame, so
        that both are encoded to the same bytes.
    """
    fields = ttypes.Frame.thrift_spec
    types = {}
    for field in fields[CALL_FIELD + 1 :]:
        number, kind, name, arguments, default = field
        skipped = (None,) * (number - CALL_FIELD - 1)
        types[name] = [
            Envelope,
            fields[: CALL_FIELD + 1]
            + skipped
            + ((number, kind, 'message', arguments, default),),
        ]
    return types


TYPES = build_types()
