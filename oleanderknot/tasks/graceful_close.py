"""Ends a connection that both sides have finished with."""

import asyncio
import collections.abc

# The other side answers a goodbye at once; one that does not has gone.
GOODBYE_S = 2.0


class GracefulClose:
    """Agrees with the other node that a connection ends.

    A plain close could cut a call that the other node has just sent.

    Attributes:
        said: Whether this node opens no more calls on the connection.
        heard: Whether the other node opens no more calls on it.
        is_idle: Returns whether neither side waits for the other one.
        announce: Tells the other node that no more calls follow.
        finish: Ends the own direction.
        give_up: Ends the connection at once.
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
        """End the connection once no call needs it."""
        if not self.said:
            self.said = True
            self.announce()
            self.set_timer()

    def handle(self) -> None:
        """Take the other node's goodbye, and say it as well."""
        self.heard = True
        self.start()
        self.check()

    def check(self) -> None:
        """End the connection when both sides have finished.

        Ending the own direction first lets the other node read to the end;
        a full close would discard what it has not read when frames of its
        own arrive here later.
        """
        if self.said and self.heard and self.is_idle():
            self.finish()

    def set_timer(self) -> None:
        """Look again later at a goodbye that is not answered."""
        self.timer = asyncio.get_running_loop().call_later(
            GOODBYE_S, self.expire
        )

    def expire(self) -> None:
        """End an idle connection whose goodbye was not answered."""
        if self.is_idle():
            self.give_up()
        else:
            self.set_timer()

    def stop(self) -> None:
        """Stop to wait; the connection has ended."""
        if self.timer is not None:
            self.timer.cancel()
