"""Finds connections that have gone silent."""

import asyncio
import collections.abc

# A connection that owes an answer and has heard none for this long is
# probed.
QUIET_S = 0.5

# A probe without any answer within this time shows a silent connection.
PROBE_S = 1.0

# A timer this late shows that this process was stopped: answers may wait
# unread in the socket, so the other side gets one more probe.
STALL_S = 0.5


class SilenceWatch:
    """Watches a connection for answers while it owes one.

    The open state of a socket says nothing: a middlebox that has lost track
    of a connection drops its packets without closing it. It may do so one
    way only, so frames that the other side sends of its own accord prove
    nothing either; only answers do.

    Attributes:
        expecting: Whether something was sent that must be answered, such as
            a call that has meanwhile missed its deadline.
        heard_at: Loop time in seconds of the last answer, or of the start.
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
        self.expecting = False
        self.heard_at = self.loop.time()
        self.probed_at = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def note_heard(self) -> None:
        """Note that an answer has arrived."""
        self.heard_at = self.loop.time()
        self.expecting = False
        if self.probed_at:
            self.probed_at = 0.0
            if self.timer is not None:
                self.schedule(QUIET_S)

    def expect(self) -> None:
        """Watch until the next answer, and while there is work."""
        self.expecting = True
        if self.timer is None:
            self.heard_at = self.loop.time()
            self.schedule(QUIET_S)

    def schedule(self, delay: float) -> None:
        """Set the time of the next check, in seconds from now."""
        self.stop()
        self.timer = self.loop.call_later(delay, self.check)

    def stop(self) -> None:
        """Stop to watch."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def check(self) -> None:
        """Probe a quiet connection; report a silent one."""
        now = self.loop.time()
        late = now - self.timer.when()
        self.timer = None
        if not self.expecting and not self.has_work():
            self.probed_at = 0.0
        elif self.probed_at and late < STALL_S:
            self.on_silent()
        elif self.probed_at or now - self.heard_at >= QUIET_S:
            self.probed_at = now
            self.probe()
            self.schedule(PROBE_S)
        else:
            self.schedule(self.heard_at + QUIET_S - now)
