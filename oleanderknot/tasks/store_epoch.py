"""Tracks the epoch of the platform's store."""

import collections.abc

from absl import logging


class StoreEpoch:
    """Reports each return of the store from a copy.

    Such a return discards the rows written since the copy was made, and gives
    out their versions again.

    Attributes:
        current: Epoch in the latest response that named one; None before the
            first.
        on_change: Functions that are called after each change of the epoch.
    """

    def __init__(self) -> None:
        self.current: int | None = None
        self.on_change: list[collections.abc.Callable[[], None]] = []

    def observe(self, epoch: int | None) -> None:
        """Record the epoch of a response; None if it named none."""
        if epoch is None or epoch == self.current:
            return
        before, self.current = self.current, epoch
        if before is None:
            return
        logging.warning(
            'the store has returned from a copy, without its latest rows',
            extra={
                'call_fields': {
                    'event': 'store_restored',
                    'epoch': epoch,
                    'before': before,
                }
            },
        )
        for function in self.on_change:
            function()
