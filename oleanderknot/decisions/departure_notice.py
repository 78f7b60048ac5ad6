"""Tracks whether an upstream says in its answers that it leaves."""

# Heartbeats may arrive seconds late, so the next few after the notice may
# have been sent before it. One that says that the upstream is ready counts
# only from this many on.
LATE_HEARTBEATS = 4


class DepartureNotice:
    """State of one start of an upstream, from its answers and heartbeats.

    Answers without the notice do not end it, since answers overtake each
    other on different connections.

    Attributes:
        leaving: Whether the upstream is leaving by its own answers.
        sequence: Number of the newest heartbeat.
        noticed_sequence: Number of the newest heartbeat at the notice.
        draining: Whether a heartbeat has confirmed the notice.
        retracted: Whether the upstream has stayed after a notice.
    """

    def __init__(self) -> None:
        self.leaving = False
        self.sequence = 0
        self.noticed_sequence = 0
        self.draining = False
        self.retracted = False

    def note_leaving(self) -> None:
        """Note an answer that says that the upstream leaves."""
        if not self.leaving:
            self.leaving = True
            self.draining = False
            self.noticed_sequence = self.sequence

    def adopt(self) -> None:
        """Note that a caller was told so before this node started.

        What the caller knows may be older than a retraction.
        """
        if not self.retracted:
            self.note_leaving()

    def note_heartbeat(self, draining: bool, sequence: int) -> None:
        """Note a heartbeat, which may end the notice.

        Args:
            draining: Whether it says that the upstream is leaving.
            sequence: Its number; heartbeats are noted in order.
        """
        self.sequence = sequence
        if not self.leaving:
            return
        if draining:
            self.draining = True
        elif (
            self.draining
            or sequence >= self.noticed_sequence + LATE_HEARTBEATS
        ):
            self.leaving = False
            self.retracted = True
