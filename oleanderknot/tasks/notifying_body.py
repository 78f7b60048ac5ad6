"""Body that calls a function when it has ended."""

import collections.abc

from oleanderknot import model


class NotifyingBody:
    """Forwards a body and notifies its owner once when it has ended.

    Attributes:
        body: The wrapped body.
        on_done: Called once when the body is complete, truncated or
            cancelled; None afterwards.
    """

    def __init__(
        self,
        *,
        body: model.Body,
        on_done: collections.abc.Callable[[], object],
    ) -> None:
        self.body = body
        self.on_done: collections.abc.Callable[[], object] | None = on_done

    async def read(self) -> bytes:
        """Return the next part; empty bytes mark the end of the body.

        Raises:
            IncompleteBodyError: The body ended before it was complete.
        """
        try:
            data = await self.body.read()
        except model.IncompleteBodyError:
            self.notify()
            raise
        if not data:
            self.notify()
        return data

    def cancel(self) -> None:
        """Tell the sender that the rest will not be read."""
        self.body.cancel()
        self.notify()

    def notify(self) -> None:
        """Call ``on_done`` unless it has been called before."""
        on_done, self.on_done = self.on_done, None
        if on_done is not None:
            on_done()
