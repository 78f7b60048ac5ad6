"""Tracks which nodes cannot be reached, and logs each change."""

import time

from absl import logging

from oleanderknot import decisions

# Limit of log lines per second. A partition makes all nodes behind it
# unreachable at once.
LINES_PER_S = 20


class Reachability:
    """Tracks the outcome of this node's own attempts to connect to others.

    Attributes:
        since: Monotonic time in seconds of the first failure to reach an
            instance, by instance.
        tried_at: Monotonic time in seconds of the last attempt, by instance.
        sampler: Limits the log lines.
    """

    def __init__(self) -> None:
        self.since: dict[str, float] = {}
        self.tried_at: dict[str, float] = {}
        self.sampler = decisions.LogSampler(per_second=LINES_PER_S)

    def note_lost(self, instance: str, detail: str, tried_at: float) -> None:
        """Record that an instance could not be reached.

        Args:
            instance: The instance.
            detail: One English phrase for operators.
            tried_at: Monotonic time in seconds that counts as the last
                attempt.
        """
        self.tried_at[instance] = tried_at
        now = time.monotonic()
        if instance in self.since:
            return
        self.since[instance] = now
        if self.sampler.allow(now):
            logging.warning(
                '%s cannot be reached: %s',
                instance,
                detail,
                extra=self.describe('peer_lost', instance, 0.0),
            )

    def note_reached(self, instance: str) -> None:
        """Record that an instance could be reached."""
        since = self.since.pop(instance, None)
        if since is None:
            return
        del self.tried_at[instance]
        now = time.monotonic()
        if self.sampler.allow(now):
            logging.info(
                '%s can be reached again',
                instance,
                extra=self.describe('peer_regained', instance, now - since),
            )

    def forget(self, before: float) -> None:
        """Remove instances whose last attempt is older than a time.

        Args:
            before: Monotonic time in seconds.
        """
        for instance, tried_at in list(self.tried_at.items()):
            if tried_at < before:
                del self.tried_at[instance], self.since[instance]

    def describe(
        self, event: str, instance: str, lost_s: float
    ) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            'call_fields': {
                'event': event,
                'member': instance,
                'lost_s': round(lost_s, 3),
                'left_out': self.sampler.flush(),
            }
        }
