"""Follows changes of the traffic policy in the platform's store."""

import asyncio
import collections.abc
import random
import time

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.tasks import store_availability
from oleanderknot.tasks import store_epoch

# Bounds of the backoff between attempts while the store does not answer.
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.5


class PolicyFeed:
    """Owns the long polls that wait for a new policy.

    Attributes:
        store: The platform's store.
        on_policy: Called with each policy and its source.
        availability: Tracks whether the store answers.
        epoch: Tracks whether the store has returned from a copy.
        rng: Random number generator.
        find_wait_s: Returns how long the next long poll waits for a change,
            from the store's clock, in seconds. If the connection goes silent
            unnoticed, the node learns of changes only from its peers until
            this time has passed.
        clock_offset_s: Store's clock less the monotonic clock, in seconds.
        position: Position up to which changes are known; None if the row must
            be read first.
        resuming: Whether the store has not answered since the last fault.
        checked: Whether the last answer was that of a poll that did not wait.
        confirmed_at: Monotonic time in seconds at which the store last told
            which policy is the newest; None before the first time.
    """

    def __init__(
        self,
        *,
        store: platform.RowStoreClient,
        on_policy: collections.abc.Callable[[model.TrafficPolicy, str], None],
        availability: store_availability.StoreAvailability,
        epoch: store_epoch.StoreEpoch,
        rng: random.Random,
        find_wait_s: collections.abc.Callable[[float], float],
    ) -> None:
        self.find_wait_s = find_wait_s
        self.store = store
        self.on_policy = on_policy
        self.availability = availability
        self.epoch = epoch
        self.rng = rng
        self.position: model.FeedPosition | None = None
        self.resuming = False
        self.checked = False
        self.confirmed_at: float | None = None
        self.clock_offset_s = 0.0

    async def run(self) -> None:
        """Follow the policy until cancelled."""
        delay = MIN_RETRY_DELAY_S
        while True:
            if await self.fetch_changes():
                delay = MIN_RETRY_DELAY_S
                continue
            # Jitter, since all nodes lose the store at the same time.
            await asyncio.sleep(delay * (0.5 + self.rng.random() / 2))
            delay = min(MAX_RETRY_DELAY_S, delay * 2)

    async def fetch_changes(self) -> bool:
        """Read the policy, or wait for a change if a version is known.

        Returns:
            Whether the store answered.
        """
        table = platform.policy_document.TABLE
        wait_s = self.find_next_wait_s()
        if self.position is None:
            result = await self.store.read(table)
        else:
            result = await self.store.follow(
                table, after=self.position.version, wait_s=wait_s
            )
        if result.is_error():
            fault = result.error
            if fault.kind is model.FaultKind.HISTORY_LOST:
                logging.info(
                    'the store has lost its history; reading it again'
                )
                self.position = None
                return True
            self.resuming = True
            self.checked = False
            self.availability.note_failure(fault.detail)
            return False
        self.resuming = False
        self.checked = self.position is not None and wait_s == 0.0
        self.availability.note_answer()
        self.apply_batch(result.ok)
        return True

    def find_next_wait_s(self) -> float:
        """Return how long the next poll waits for a change, in seconds.

        The store may have returned from a copy since its last answer if a
        fault or the end of the connection followed. The next poll then does
        not wait, and its answer tells whether the position still holds. The
        one after it waits in any case, since some stores end each connection.
        """
        in_doubt = self.resuming or not self.store.is_connected()
        if in_doubt and not self.checked:
            return 0.0
        return self.find_wait_s(time.monotonic() + self.clock_offset_s)

    def apply_batch(self, batch: model.RowBatch) -> None:
        """Apply the rows of a response and advance the position."""
        self.epoch.observe(batch.epoch)
        for row in batch.rows:
            self.apply_row(row)
        if self.position is not None and not decisions.is_continuous(
            self.position, batch
        ):
            logging.info(
                'the store has another history; reading the policy again'
            )
            self.position = None
            return
        self.position = model.FeedPosition(
            epoch=batch.epoch, version=batch.version
        )
        self.confirmed_at = time.monotonic()
        if batch.clock_s is not None:
            self.clock_offset_s = batch.clock_s - self.confirmed_at

    def find_confirmed_age(self) -> float | None:
        """Return the seconds since the store last told the newest policy.

        None before the first time. The age also grows while a poll waits, up
        to its wait.
        """
        if self.confirmed_at is None:
            return None
        return time.monotonic() - self.confirmed_at

    def apply_row(self, row: model.TableRow) -> None:
        """Apply a row; an invalid policy leaves the previous one in force."""
        if row.key != platform.policy_document.KEY or not row.value:
            return
        try:
            policy = platform.policy_document.parse_policy(row.value)
        except ValueError as error:
            logging.error(
                'the policy of row version %d is not valid and was ignored:'
                ' %s',
                row.version,
                error,
            )
            return
        self.on_policy(policy, 'store')
