"""Graceful shutdown of a connection between two nodes."""

import asyncio
import collections.abc

# The other node answers a goodbye at once; without an answer within this time
# it is assumed to be gone.
GOODBYE_S = 2.0


class GracefulClose:
    """Negotiates the shutdown of a connection with the other node.

    Closing without agreement could lose a call that the other node has just
    sent.

    Attributes:
        said: Whether this node has sent its goodbye; it then opens no more
            calls on the connection.
        heard: Whether the goodbye of the other node has been received.
        is_idle: Returns whether no call is in progress in either direction.
        announce: Sends the goodbye to the other node.
        finish: Closes the sending direction of the connection.
        give_up: Closes the connection at once.
    """

    def __init__(
        self,
        *,
        is_idle: collections.abc.Callable[[], bool],
        announce: collections.abc.Callable[[], None],
        finish: collections.abc.Callable[[], None],
        give_up: collections.abc.Callable[[], None],
    ) -> None:
        self.is_idle = is_idle
        self.announce = announce
        self.finish = finish
        self.give_up = give_up
        self.said = False
        self.heard = False
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to close the connection as soon as no call uses it."""
        if not self.said:
            self.said = True
            self.announce()
            self.set_timer()

    def handle(self) -> None:
        """Handle the goodbye of the other node and answer it."""
        self.heard = True
        self.start()
        self.check()

    def check(self) -> None:
        """Half-close the connection if both nodes are done with it.

        With a half-close the other node can still read everything that was
        sent. After a full close, later frames of the other node would cause
        a reset, which discards the data that it has not read.
        """
        if self.said and self.heard and self.is_idle():
            self.finish()

    def set_timer(self) -> None:
        """Start the timeout for the answer to the goodbye."""
        self.timer = asyncio.get_running_loop().call_later(
            GOODBYE_S, self.expire
        )

    def expire(self) -> None:
        """Close the connection if it is idle, else wait again."""
        if self.is_idle():
            self.give_up()
        else:
            self.set_timer()

    def stop(self) -> None:
        """Cancel the timeout after the connection has closed."""
        if self.timer is not None:
            self.timer.cancel()
