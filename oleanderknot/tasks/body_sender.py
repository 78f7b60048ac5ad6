"""Sends a body in chunks."""

import collections.abc
import dataclasses
import typing

from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import send_window


class SendFunction(typing.Protocol):
    """Sends one frame of a call; the named argument is its message."""

    def __call__(self, call: int, **message: typing.Any) -> None:
        """Send the frame."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outlet:
    """What a call needs of its connection to send.

    Attributes:
        send: Sends one frame.
        wait_writable: Waits while the socket's buffer is full.
    """

    send: SendFunction
    wait_writable: collections.abc.Callable[
        [], collections.abc.Awaitable[None]
    ]


async def send_body(
    outlet: Outlet,
    number: int,
    body: model.Body,
    window: send_window.SendWindow,
    *,
    offset: int,
) -> None:
    """Send a body as the receiver's credit allows.

    A body that is cut is ended by a failure frame, so that the receiver
    never takes it for whole.

    Args:
        outlet: Way to the other node.
        number: Call number.
        body: The body.
        window: Credit of the receiver.
        offset: Bytes of the body that were sent before.
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
                outlet.send(
                    number,
                    chunk=wire.Chunk(offset=offset, data=part, last=False),
                )
                offset += size
                start += size
                await outlet.wait_writable()
        outlet.send(
            number, chunk=wire.Chunk(offset=offset, data=b'', last=True)
        )
        finished = True
    except model.IncompleteBodyError as error:
        outlet.send(
            number,
            failure=wire.Failure(
                verdict=1, rule=error.rule.value, detail=str(error)
            ),
        )
    finally:
        if not finished:
            body.cancel()
