"""Detects connections whose peer has stopped responding."""

import asyncio
import collections.abc

# A connection that expects a response and has received none for this long is
# probed.
QUIET_S = 0.5

# A connection without any response within this time after a probe is silent.
PROBE_S = 1.0

# A timer that fires this late shows that the process was suspended. Responses
# may wait unread in the socket, so the peer is probed once more.
STALL_S = 0.5


class SilenceWatch:
    """Checks that a connection receives the responses that it expects.

    An open socket does not show that the path works: a middlebox that has
    lost the state of a connection drops its packets without closing it. It
    may do so in one direction only, so frames that the peer sends
    unprompted do not show it either; only responses do.

    Attributes:
        has_work: Returns whether a call or key query waits for a response.
        probe: Sends a probe.
        on_silent: Called when the connection is found to be silent.
        expecting: Whether a message was sent that requires a response, such
            as a call whose deadline has passed in the meantime.
        heard_at: Loop time in seconds of the last response, or of the start
            of the checks.
        probed_at: Loop time in seconds of the unanswered probe; 0 for none.
        timer: Timer of the next check.
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
        """Record that a response has arrived."""
        self.heard_at = self.loop.time()
        self.expecting = False
        if self.probed_at:
            self.probed_at = 0.0
            if self.timer is not None:
                self.schedule(QUIET_S)

    def expect(self) -> None:
        """Check until the next response arrives and while work is open."""
        self.expecting = True
        if self.timer is None:
            self.heard_at = self.loop.time()
            self.schedule(QUIET_S)

    def schedule(self, delay: float) -> None:
        """Schedule the next check after a delay in seconds."""
        self.stop()
        self.timer = self.loop.call_later(delay, self.check)

    def stop(self) -> None:
        """Stop the checks."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def check(self) -> None:
        """Probe an idle connection; report one that is silent."""
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
