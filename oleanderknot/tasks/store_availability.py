"""Notes when the platform's store is lost and regained."""

import time

from absl import logging


class StoreAvailability:
    """Logs one line at each loss and each return of the store.

    Attributes:
        answered_at: Monotonic time in seconds of the last answer; 0 before
            the first.
        lost: Whether the last call failed.
    """

    def __init__(self) -> None:
        self.answered_at = 0.0
        self.lost = False

    def note_answer(self) -> None:
        """Note that the store has answered."""
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
        """Note that a call to the store has failed."""
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
