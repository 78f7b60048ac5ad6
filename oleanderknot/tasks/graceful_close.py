"""Graceful shutdown of a connection between two nodes."""

import asyncio
import collections.abc

# The other node answers a goodbye at once; without an answer within this time
# it is assumed to be gone.
GOODBYE_TIMEOUT_S = 2.0


class GracefulClose:
    """Negotiates the shutdown of a connection with the other node.

    Closing without agreement could lose a call that the other node has just
    sent.

    Attributes:
        goodbye_sent: Whether this node has sent its goodbye; it then opens
            no more calls on the connection.
        goodbye_received: Whether the goodbye of the other node has been
            received; it opens no more calls either.
        is_idle: Returns whether no call is in progress in either direction.
        send_goodbye: Sends the goodbye to the other node.
        half_close: Closes the sending direction of the connection.
        abort: Closes the connection at once.
    """

    def __init__(
        self,
        *,
        is_idle: collections.abc.Callable[[], bool],
        send_goodbye: collections.abc.Callable[[], None],
        half_close: collections.abc.Callable[[], None],
        abort: collections.abc.Callable[[], None],
    ) -> None:
        self.is_idle = is_idle
        self.send_goodbye = send_goodbye
        self.half_close = half_close
        self.abort = abort
        self.goodbye_sent = False
        self.goodbye_received = False
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to close the connection as soon as no call uses it."""
        if not self.goodbye_sent:
            self.goodbye_sent = True
            self.send_goodbye()
            self.start_timer()

    def handle_goodbye(self) -> None:
        """Handle the goodbye of the other node and answer it."""
        self.goodbye_received = True
        self.start()
        self.close_if_done()

    def close_if_done(self) -> None:
        """Half-close the connection if both nodes are done with it.

        With a half-close the other node can still read everything that was
        sent. After a full close, later frames of the other node would cause
        a reset, which discards the data that it has not read.
        """
        if self.goodbye_sent and self.goodbye_received and self.is_idle():
            self.half_close()

    def start_timer(self) -> None:
        """Start the timeout for the answer to the goodbye."""
        self.timer = asyncio.get_running_loop().call_later(
            GOODBYE_TIMEOUT_S, self.handle_timeout
        )

    def handle_timeout(self) -> None:
        """Close the connection if it is idle, else wait again."""
        if self.is_idle():
            self.abort()
        else:
            self.start_timer()

    def stop(self) -> None:
        """Cancel the timeout after the connection has closed."""
        if self.timer is not None:
            self.timer.cancel()
