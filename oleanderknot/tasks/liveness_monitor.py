"""Detects connections whose peer has stopped responding."""

import asyncio
import collections.abc

# A connection that expects a response and has received none for this long is
# probed.
PROBE_AFTER_S = 0.5

# A connection without any response within this time after a probe is silent.
PROBE_TIMEOUT_S = 1.0

# A connection whose probe is unanswered for this long is overdue: it may be
# silent, and calls should take another one. Within a region a response takes
# a few milliseconds.
PROBE_OVERDUE_S = 0.1

# A timer that fires this late shows that the process was suspended. Responses
# may wait unread in the socket, so the peer is probed once more.
PROCESS_STALL_S = 0.5


class LivenessMonitor:
    """Checks that a connection receives the responses that it expects.

    An open socket does not show that the path works: a middlebox that has
    lost the state of a connection drops its packets without closing it. It
    may do so in one direction only, so frames that the peer sends
    unprompted do not show it either; only responses do.

    Attributes:
        awaits_response: Returns whether a call or key query is open.
        send_probe: Sends a probe.
        on_silent: Called when the connection is found to be silent.
        on_overdue: Called when a probe becomes overdue.
        unanswered: Monitors of the node whose probe is unanswered.
        response_expected: Whether a message was sent that requires a
            response, such as a call whose deadline has passed in the
            meantime.
        last_response_at: Loop time in seconds of the last response, or of
            the start of the checks.
        probe_sent_at: Loop time in seconds of the unanswered probe; 0 if
            there is none.
        timer: Timer of the next check.
        overdue_timer: Timer at which the last probe becomes overdue.
    """

    def __init__(
        self,
        *,
        awaits_response: collections.abc.Callable[[], bool],
        send_probe: collections.abc.Callable[[], None],
        on_silent: collections.abc.Callable[[], None],
        on_overdue: collections.abc.Callable[[], None] = lambda: None,
        unanswered: 'set[LivenessMonitor] | None' = None,
    ) -> None:
        self.awaits_response = awaits_response
        self.send_probe = send_probe
        self.on_silent = on_silent
        self.on_overdue = on_overdue
        self.unanswered = set() if unanswered is None else unanswered
        self.loop = asyncio.get_running_loop()
        self.response_expected = False
        self.last_response_at = self.loop.time()
        self.probe_sent_at = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.overdue_timer: asyncio.TimerHandle | None = None

    def note_response(self) -> None:
        """Record that a response has arrived."""
        self.last_response_at = self.loop.time()
        self.response_expected = False
        if self.probe_sent_at:
            self.clear_probe()
            if self.timer is not None:
                self.schedule(PROBE_AFTER_S)

    def expect_response(self) -> None:
        """Check until the next response arrives and while work is open."""
        self.response_expected = True
        if self.timer is None:
            self.last_response_at = self.loop.time()
            self.schedule(PROBE_AFTER_S)

    def clear_probe(self) -> None:
        """Record that no probe is unanswered."""
        self.probe_sent_at = 0.0
        self.unanswered.discard(self)

    def is_overdue(self) -> bool:
        """Return whether the connection may be about to be found silent."""
        return (
            self.probe_sent_at > 0.0
            and self.loop.time() - self.probe_sent_at >= PROBE_OVERDUE_S
        )

    def schedule(self, delay_s: float) -> None:
        """Schedule the next check after a delay in seconds."""
        self.cancel_timers()
        self.timer = self.loop.call_later(delay_s, self.check)

    def stop(self) -> None:
        """Stop the checks of a closed connection."""
        self.cancel_timers()
        self.unanswered.discard(self)

    def cancel_timers(self) -> None:
        """Cancel the next check and the report of an overdue probe."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.overdue_timer is not None:
            self.overdue_timer.cancel()
            self.overdue_timer = None

    def report_overdue(self) -> None:
        """Report a probe without an answer; called by the timer."""
        self.overdue_timer = None
        if self.probe_sent_at:
            self.on_overdue()

    def check(self) -> None:
        """Probe an idle connection; report one that is silent."""
        now = self.loop.time()
        timer_delay_s = now - self.timer.when()
        self.timer = None
        if not self.response_expected and not self.awaits_response():
            self.clear_probe()
        elif self.probe_sent_at and timer_delay_s < PROCESS_STALL_S:
            self.unanswered.discard(self)
            self.on_silent()
        elif (
            self.probe_sent_at or now - self.last_response_at >= PROBE_AFTER_S
        ):
            self.probe_sent_at = now
            self.unanswered.add(self)
            self.send_probe()
            self.schedule(PROBE_TIMEOUT_S)
            self.overdue_timer = self.loop.call_later(
                PROBE_OVERDUE_S, self.report_overdue
            )
        else:
            self.schedule(self.last_response_at + PROBE_AFTER_S - now)
