"""Body that says when it has ended."""

import collections.abc

from oleanderknot import model


class FinishedBody:
    """Passes a body on and says once when it has ended.

    Attributes:
        body: The body.
        on_done: Called once when the body is whole, cut or given up; None
            afterwards.
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
        """Return the next part; empty bytes mark the end.

        Raises:
            IncompleteBodyError: The body ended before it was whole.
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
        """Tell the sender that nobody reads on."""
        self.body.cancel()
        self.notify()

    def notify(self) -> None:
        """Say that the body has ended, unless that was said before."""
        on_done, self.on_done = self.on_done, None
        if on_done is not None:
            on_done()
