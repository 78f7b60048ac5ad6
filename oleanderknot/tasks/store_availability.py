"""Tracks whether the platform's store answers."""

import time

from absl import logging


class StoreAvailability:
    """Logs one line each time the store stops or resumes answering.

    Attributes:
        answered_at: Monotonic time in seconds of the last successful call;
            0 before the first.
        lost: Whether the last call failed.
    """

    def __init__(self) -> None:
        self.answered_at = 0.0
        self.lost = False

    def note_answer(self) -> None:
        """Record a successful call; log the recovery after a failed one."""
        now = time.monotonic()
        if self.lost:
            self.lost = False
            logging.info(
                'the store answers again',
                extra={
                    'call_fields': {
                        'event': 'store_regained',
                        'silent_s': self.find_age(now),
                    }
                },
            )
        self.answered_at = now

    def note_failure(self, detail: str) -> None:
        """Record a failed call; log the first one after a success."""
        if self.lost:
            return
        self.lost = True
        logging.warning(
            'the store does not answer: %s',
            detail,
            extra={
                'call_fields': {
                    'event': 'store_lost',
                    'silent_s': self.find_age(time.monotonic()),
                }
            },
        )

    def find_age(self, now: float) -> float | None:
        """Return the seconds since the last answer; None before the first."""
        if not self.answered_at:
            return None
        return round(now - self.answered_at, 3)
