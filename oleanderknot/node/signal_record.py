"""Records signals that arrive while a node starts."""

import collections.abc
import signal
import types


class SignalRecord:
    """Records signals until the event loop handles them.

    Without it, a signal during the start would end the process: a reload of
    the settings as well as a planned stop, after the listeners have opened.

    Attributes:
        received: Signals that have arrived.
    """

    def __init__(self) -> None:
        self.received: set[int] = set()

    def install(self, numbers: collections.abc.Iterable[int]) -> None:
        """Record signals from now on."""
        for number in numbers:
            signal.signal(number, self.record)

    def record(self, number: int, frame: types.FrameType | None) -> None:
        """Record a signal; called by the interpreter."""
        self.received.add(number)
