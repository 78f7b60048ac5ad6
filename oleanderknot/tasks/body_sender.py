"""Sends a body to another node in chunks under flow control."""

import collections.abc
import dataclasses
import typing

from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import send_window


class SendFunction(typing.Protocol):
    """Sends one frame of a call; the keyword argument is its message."""

    def __call__(self, call: int, **message: typing.Any) -> None:
        """Send the frame."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FrameWriter:
    """Functions of a connection with which a call sends its frames.

    Attributes:
        send: Sends one frame.
        wait_writable: Waits while the socket's send buffer is full.
    """

    send: SendFunction
    wait_writable: collections.abc.Callable[
        [], collections.abc.Awaitable[None]
    ]


async def send_body(
    writer: FrameWriter,
    number: int,
    body: model.Body,
    window: send_window.SendWindow,
    *,
    offset: int,
) -> None:
    """Send a body within the credit that the receiver grants.

    A truncated body ends with a failure frame, so that the receiver never
    mistakes it for a complete one.

    Args:
        writer: Sends frames to the other node.
        number: Call number.
        body: The body.
        window: Credit granted by the receiver.
        offset: Number of bytes of the body that were sent before.
    """
    finished = False
    try:
        while data := await body.read():
            start = 0
            while start < len(data):
                size = await window.reserve(
                    min(len(data) - start, send_window.CHUNK_BYTES)
                )
                part = data[start : start + size]
                writer.send(
                    number,
                    chunk=wire.Chunk(offset=offset, data=part, last=False),
                )
                offset += size
                start += size
                await writer.wait_writable()
        writer.send(
            number, chunk=wire.Chunk(offset=offset, data=b'', last=True)
        )
        finished = True
    except model.IncompleteBodyError as error:
        writer.send(
            number,
            failure=wire.Failure(
                verdict=1, rule=error.rule.value, detail=str(error)
            ),
        )
    finally:
        if not finished:
            body.cancel()
