"""Times at which a stopping node refuses and ends requests."""

import math

# The platform probes readiness once a second and removes a node after two
# failed probes, so clients may send new requests for this long after the node
# becomes unready.
REMOVAL_DELAY_S = 2.5

# Time before SIGKILL that is reserved for closing connections, at most the
# given share of the grace period.
CLOSE_RESERVE_S = 0.7
CLOSE_RESERVE_SHARE = 1 / 12

# Time before the end of the drain by which answers are due: an upstream that
# keeps its deadline may answer shortly after it. With the reserve above it
# stays within the last sixth of the grace period, in which the platform allows
# a node to cut off work.
ANSWER_RESERVE_S = 0.4
ANSWER_RESERVE_SHARE = 1 / 15


class StopSchedule:
    """Schedule of a planned stop; nothing is scheduled before it begins.

    Attributes:
        refuse_from: Monotonic time in seconds from which new requests are
            refused, as they could not end before the process.
        answer_by: Monotonic time in seconds by which requests that began
            after the stop must be answered.
        end_at: Monotonic time in seconds at which the drain ends.
    """

    def __init__(self) -> None:
        self.refuse_from = math.inf
        self.answer_by = math.inf
        self.end_at = math.inf

    def begin(self, now: float, grace_s: float) -> None:
        """Begin the stop.

        Args:
            now: Monotonic time in seconds.
            grace_s: Seconds until the process is killed.
        """
        close_s = min(CLOSE_RESERVE_S, CLOSE_RESERVE_SHARE * grace_s)
        self.end_at = now + grace_s - close_s
        # If little time is left, half of it is kept for requests in flight.
        self.refuse_from = now + min(REMOVAL_DELAY_S, (self.end_at - now) / 2)
        self.answer_by = self.end_at - min(
            ANSWER_RESERVE_S, ANSWER_RESERVE_SHARE * grace_s
        )
