"""Counts decisions per period and writes the batches to the object store."""

import asyncio
import collections
import collections.abc
import dataclasses
import time

from absl import logging

from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform

# Distinct decision keys in one batch. Callers choose the service names, so
# without this limit the number of keys would be unbounded. 256 held batches
# of 1,000 keys of 150 bytes take 38 MB, within the 256 MB of a node.
MAX_DECISION_KEYS = 1000
OTHER_SERVICE = 'other'

MAX_EVENTS = 200

# Held batches written in one period in addition to the new one. With 1,200
# nodes and a period of 30 s this is 360 writes per second after an outage,
# within the several hundred that the platform allows.
MAX_CATCH_UP_BATCHES = 8

# Time that a planned stop waits for the object store, and the delay between
# attempts in that time.
SHUTDOWN_TIMEOUT_S = 5.0
SHUTDOWN_RETRY_DELAY_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AccountHooks:
    """Callbacks that report the state of the account.

    Attributes:
        count: Increments the counter metric of this name.
        on_store_result: Called after each write with whether it succeeded.
        on_batches_dropped: Called for each dropped batch with the number
            dropped so far.
    """

    count: collections.abc.Callable[[str], None]
    on_store_result: collections.abc.Callable[[bool], None]
    on_batches_dropped: collections.abc.Callable[[int], None]


class Account:
    """Owns the counts of decisions and the batches not yet written.

    Attributes:
        identity: Identity of this node.
        client: Client of the object store; if None, no batches are kept.
        settings: Period and maximum number of held batches.
        hooks: Callbacks that report the state of the account.
        counts: Decisions of the current period.
        events: Events of the current period.
        held: Object key and content of each batch not yet written, oldest
            first.
        sequence: Sequence number of the last batch.
        dropped: Batches dropped since this process started.
        started: Wall-clock start of the current period.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        client: platform.ObjectClient | None,
        settings: border.AccountSettings,
        hooks: AccountHooks,
    ) -> None:
        self.identity = identity
        self.client = client
        self.settings = settings
        self.hooks = hooks
        self.counts: collections.Counter[model.DecisionKey] = (
            collections.Counter()
        )
        self.events: list[model.Event] = []
        self.held: collections.deque[tuple[str, bytes]] = collections.deque()
        self.sequence = 0
        self.dropped = 0
        self.started = time.time()

    def count(self, key: model.DecisionKey) -> None:
        """Count a decision.

        Beyond ``MAX_DECISION_KEYS``, new keys are counted for the service
        ``other``.
        """
        if len(self.counts) >= MAX_DECISION_KEYS and key not in self.counts:
            key = dataclasses.replace(key, service=OTHER_SERVICE)
        self.counts[key] += 1

    def record_event(self, event: model.Event) -> None:
        """Add an event to the current period, up to ``MAX_EVENTS``."""
        if len(self.events) < MAX_EVENTS:
            self.events.append(event)

    def close_period(self, now: float, *, final: bool = False) -> None:
        """End the current period and queue its batch for writing.

        A batch without decisions is queued as well: it shows that the node
        was running and that no data is missing.

        Args:
            now: Wall-clock time in seconds since 1970 (UTC).
            final: Whether this is the last batch before the node stops.
        """
        if self.client is None:
            self.counts.clear()
            self.events.clear()
            return
        while len(self.held) >= self.settings.max_held:
            self.held.popleft()
            self.dropped += 1
            self.hooks.count('account.batches_dropped')
            self.hooks.on_batches_dropped(self.dropped)
        self.sequence += 1
        batch = model.AccountBatch(
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            data_centre=self.identity.data_centre,
            sequence=self.sequence,
            started=self.started,
            ended=now,
            period_s=self.settings.period_s,
            dropped=self.dropped,
            final=final,
            counts=self.counts,
            events=tuple(self.events),
        )
        self.held.append(
            (border.build_object_key(batch), border.dump_batch(batch))
        )
        self.counts = collections.Counter()
        self.events = []
        self.started = now

    async def write_pending(self, limit: int) -> bool:
        """Write held batches, oldest first, until one fails.

        Args:
            limit: Maximum number of batches to write.

        Returns:
            Whether every attempted write succeeded.
        """
        while self.held and limit > 0:
            key, content = self.held[0]
            result = await self.client.put(key, content)
            self.hooks.on_store_result(result.is_ok())
            if result.is_error():
                return False
            # The batch may have been dropped during the write.
            if self.held and self.held[0][0] == key:
                self.held.popleft()
            self.hooks.count('account.batches_written')
            limit -= 1
        return True

    async def run(self, draw: collections.abc.Callable[[], float]) -> None:
        """Write a batch each period until cancelled.

        Args:
            draw: Returns a random number from 0 to 1, which spreads the
                writes of nodes that started at the same time.
        """
        period = self.settings.period_s
        wait = period * (0.5 + draw() / 2)
        while True:
            await asyncio.sleep(wait)
            wait = period
            self.close_period(time.time())
            if self.client is not None:
                await self.write_pending(1 + MAX_CATCH_UP_BATCHES)

    async def close(self) -> None:
        """Write all held batches; called after the last request has ended."""
        self.close_period(time.time(), final=True)
        if self.client is None:
            return
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                while not await self.write_pending(len(self.held)):
                    await asyncio.sleep(SHUTDOWN_RETRY_DELAY_S)
        except TimeoutError:
            logging.error(
                'lost %d account batches: the object store did not accept'
                ' them before shutdown',
                len(self.held),
            )
        await self.client.close()
