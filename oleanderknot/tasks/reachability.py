"""Tracks which nodes cannot be reached, and logs each change."""

import time

from absl import logging

from oleanderknot import decisions

# Limit of log lines per second. A partition makes all nodes behind it
# unreachable at once.
LOG_LINES_PER_S = 20


class Reachability:
    """Tracks the outcome of this node's own attempts to connect to others.

    Attributes:
        failed_since: Monotonic time in seconds of the first failure to
            reach an instance, by instance.
        last_attempt_at: Monotonic time in seconds of the last attempt, by
            instance.
        log_sampler: Limits the log lines.
    """

    def __init__(self) -> None:
        self.failed_since: dict[str, float] = {}
        self.last_attempt_at: dict[str, float] = {}
        self.log_sampler = decisions.LogSampler(per_second=LOG_LINES_PER_S)

    def note_unreachable(
        self, instance: str, detail: str, attempted_at: float
    ) -> None:
        """Record that an instance could not be reached.

        Args:
            instance: The instance.
            detail: One English phrase for operators.
            attempted_at: Monotonic time in seconds that counts as the last
                attempt.
        """
        self.last_attempt_at[instance] = attempted_at
        now = time.monotonic()
        if instance in self.failed_since:
            return
        self.failed_since[instance] = now
        if self.log_sampler.allow(now):
            logging.warning(
                '%s cannot be reached: %s',
                instance,
                detail,
                extra=self.build_log_fields('peer_lost', instance, 0.0),
            )

    def note_reachable(self, instance: str) -> None:
        """Record that an instance could be reached."""
        since = self.failed_since.pop(instance, None)
        if since is None:
            return
        del self.last_attempt_at[instance]
        now = time.monotonic()
        if self.log_sampler.allow(now):
            logging.info(
                '%s can be reached again',
                instance,
                extra=self.build_log_fields(
                    'peer_regained', instance, now - since
                ),
            )

    def remove_before(self, before: float) -> None:
        """Remove instances whose last attempt is older than a time.

        Args:
            before: Monotonic time in seconds.
        """
        for instance, attempted_at in list(self.last_attempt_at.items()):
            if attempted_at < before:
                del self.last_attempt_at[instance], self.failed_since[instance]

    def build_log_fields(
        self, event: str, instance: str, lost_s: float
    ) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            'call_fields': {
                'event': event,
                'member': instance,
                'lost_s': round(lost_s, 3),
                'left_out': self.log_sampler.flush(),
            }
        }
