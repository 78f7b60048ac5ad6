"""Times at which refused clients of one service and class may return."""

import collections.abc
import math

# Share of the answered requests that may be those of returning clients. The
# rest is left to newcomers, as a service that only serves clients on their
# second attempt refuses everyone once.
RETURN_SHARE = 0.5

# Time over which the rate of answers is averaged.
RATE_SPAN_S = 2.0

# Lowest rate of returns that is assumed. While nothing is answered, a return
# in a second shows whether the service has recovered.
MIN_RETURN_RATE = 1.0


class ReturnSchedule:
    """Assigns return times at the rate at which there will be room.

    Attributes:
        answers: Number of answers, averaged over ``RATE_SPAN_S``.
        counted_at: Monotonic time in seconds up to which ``answers`` has
            decayed.
        next_at: Monotonic time in seconds that is not assigned yet.
    """

    def __init__(self, *, now: float) -> None:
        self.answers = 0.0
        self.counted_at = now
        self.next_at = now

    def count_answer(self, now: float) -> None:
        """Count an answered request.

        Args:
            now: Monotonic time in seconds.
        """
        self.decay(now)
        self.answers += 1

    def decay(self, now: float) -> None:
        """Reduce the weight of earlier answers."""
        elapsed_s = max(0.0, now - self.counted_at)
        self.answers *= math.exp(-elapsed_s / RATE_SPAN_S)
        self.counted_at = now

    def assign(
        self,
        *,
        now: float,
        earliest_s: float,
        latest_s: float,
        draw: collections.abc.Callable[[], float],
    ) -> float:
        """Assign a return time to a refused client.

        Args:
            now: Monotonic time in seconds.
            earliest_s: Seconds until the level may admit the client.
            latest_s: Longest wait that the client honours, in seconds.
            draw: Returns a random number from 0 to 1.

        Returns:
            Seconds until the client may return, at most ``latest_s``. If
            there is no room until then, it is any time in between, so that
            those without room do not return together.
        """
        if earliest_s >= latest_s:
            return latest_s
        self.decay(now)
        interval_s = 1 / max(
            MIN_RETURN_RATE, RETURN_SHARE * self.answers / RATE_SPAN_S
        )
        start = max(now + earliest_s, self.next_at)
        wait_s = start + interval_s * draw() - now
        if wait_s > latest_s:
            return earliest_s + (latest_s - earliest_s) * draw()
        self.next_at = start + interval_s
        return wait_s
