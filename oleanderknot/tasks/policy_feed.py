"""Follows the operators' policy in the platform's store."""

import asyncio
import collections.abc
import random

from absl import logging

from oleanderknot import model
from oleanderknot import platform
from oleanderknot.tasks import store_watch

# Longest wait for a change that one call asks for. A connection may go
# silent without a sign, and the node then hears of changes from its peers
# only until the wait ends.
FEED_WAIT_S = 5.0

# Pauses between attempts while the store does not answer.
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 1.5


class PolicyFeed:
    """Owns the calls that wait for a new policy.

    Attributes:
        store: The platform's store.
        take: Takes each policy.
        watch: Told whether the store answers.
        rng: Source of randomness.
        version: Version of the store up to which changes are known; None
            when the row must be read.
    """

    def __init__(
        self,
        *,
        store: platform.RowStoreClient,
        take: collections.abc.Callable[[model.TrafficPolicy, str], None],
        watch: store_watch.StoreWatch,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.take = take
        self.watch = watch
        self.rng = rng
        self.version: int | None = None

    async def run(self) -> None:
        """Follow the policy until cancelled."""
        pause = MIN_PAUSE_S
        while True:
            if await self.step():
                pause = MIN_PAUSE_S
                continue
            # Full jitter, since all nodes lose the store together.
            await asyncio.sleep(pause * (0.5 + self.rng.random() / 2))
            pause = min(MAX_PAUSE_S, pause * 2)

    async def step(self) -> bool:
        """Read the policy or wait for a change of it.

        Returns:
            Whether the store answered.
        """
        table = platform.policy_document.TABLE
        if self.version is None:
            result = await self.store.read(table)
        else:
            result = await self.store.follow(
                table, after=self.version, wait_s=FEED_WAIT_S
            )
        if result.is_error():
            fault = result.error
            if fault.kind is model.FaultKind.HISTORY_LOST:
                logging.info('the store has lost its history; reading anew')
                self.version = None
                return True
            self.watch.note_failure(fault.detail)
            return False
        self.watch.note_answer()
        for row in result.ok.rows:
            self.take_row(row)
        self.version = result.ok.version
        return True

    def take_row(self, row: model.TableRow) -> None:
        """Take a row; what is no valid policy leaves the last one in force."""
        if row.key != platform.policy_document.KEY or not row.value:
            return
        try:
            policy = platform.policy_document.parse_policy(row.value)
        except ValueError as error:
            logging.error(
                'the policy of row version %d is not valid and was left out:'
                ' %s',
                row.version,
                error,
            )
            return
        self.take(policy, 'store')
