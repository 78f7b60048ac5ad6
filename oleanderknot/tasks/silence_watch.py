"""Finds connections that have gone silent."""

import asyncio
import collections.abc

# A connection with work that has received nothing for this long is probed.
QUIET_S = 0.5

# A probe without any received byte within this time shows a silent
# connection.
PROBE_S = 1.0


class SilenceWatch:
    """Watches a connection for progress while it has work.

    The open state of a socket says nothing: a middlebox that has lost track
    of a connection drops its packets without closing it.

    Attributes:
        heard_at: Loop time in seconds of the last received bytes.
        probed_at: Loop time of the probe that is out; 0 for none.
        timer: The next check.
    """

    def __init__(
        self,
        *,
        has_work: collections.abc.Callable[[], bool],
        probe: collections.abc.Callable[[], None],
        on_silent: collections.abc.Callable[[], None],
    ) -> None:
        self.has_work = has_work
        self.probe = probe
        self.on_silent = on_silent
        self.loop = asyncio.get_running_loop()
        self.heard_at = self.loop.time()
        self.probed_at = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def note_heard(self) -> None:
        """Note that bytes have arrived."""
        self.heard_at = self.loop.time()
        self.probed_at = 0.0

    def start(self) -> None:
        """Start to watch, unless it is watched already."""
        if self.timer is None:
            self.timer = self.loop.call_later(QUIET_S, self.check)

    def stop(self) -> None:
        """Stop to watch."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def check(self) -> None:
        """Probe a quiet connection; report a silent one."""
        self.timer = None
        if not self.has_work():
            self.probed_at = 0.0
            return
        now = self.loop.time()
        if self.probed_at and now - self.probed_at >= PROBE_S:
            self.on_silent()
            return
        if not self.probed_at and now - self.heard_at >= QUIET_S:
            self.probed_at = now
            self.probe()
        self.start()
