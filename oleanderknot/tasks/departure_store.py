"""Keeps the latest departure of the local upstream in the platform's store."""

import asyncio
import collections.abc
import contextlib
import random

from absl import logging

from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.tasks import store_availability

DEPARTURE_TABLE = 'departures'

# Largest delays of an acknowledgement while the store and then the other nodes
# do not respond. The upstream waits 1 s for it.
MAX_WAIT_S = 0.5
MAX_PEER_WAIT_S = 0.3

# Bounds of the delay between attempts while the store does not respond.
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.5


class DepartureStore:
    """Owns the row of this instance in the table of departures.

    A node that restarts reads the row. Without it, a heartbeat that was sent
    before the departure and arrives late would pass for that of an upstream
    that accepts work. While the store is away, other nodes hold a copy in
    the membership record of this node.

    Attributes:
        instance: Name of this instance.
        store: The platform's store.
        availability: Tracks whether the store responds.
        rng: Source of randomness.
        on_loaded: Called with the departure that the row holds.
        wait_for_peer: Waits for the given time in seconds until another node
            has received the membership record; returns whether one has.
        latest: Departure that the row must hold; None before the first.
        load_pending: Whether the row has not been read since the start.
        save_pending: Whether the row does not hold ``latest`` yet.
        tried: Set after the first attempt to read the row.
        saved: Set while the row holds ``latest``.
        held: Whether another node holds ``latest``.
        changed: Set when the row must be written.
    """

    def __init__(
        self,
        *,
        instance: str,
        store: platform.RowStoreClient,
        availability: store_availability.StoreAvailability,
        rng: random.Random,
        on_loaded: collections.abc.Callable[[model.Departure], None],
        wait_for_peer: collections.abc.Callable[
            [float], collections.abc.Awaitable[bool]
        ],
        first_start: bool,
    ) -> None:
        self.instance = instance
        self.store = store
        self.availability = availability
        self.rng = rng
        self.on_loaded = on_loaded
        self.wait_for_peer = wait_for_peer
        self.latest: model.Departure | None = None
        # No row can exist when the whole system starts for the first time.
        self.load_pending = not first_start
        self.save_pending = False
        self.tried = asyncio.Event()
        self.saved = asyncio.Event()
        self.held = False
        self.changed = asyncio.Event()
        if first_start:
            self.tried.set()

    async def run(self) -> None:
        """Read the row, and write it after each change, until cancelled."""
        delay_s = MIN_RETRY_DELAY_S
        while True:
            self.changed.clear()
            if await self.synchronise():
                delay_s = MIN_RETRY_DELAY_S
                await self.changed.wait()
                continue
            # Jitter, since all nodes lose the store at the same time.
            await wait_for(
                self.changed, delay_s * (0.5 + self.rng.random() / 2)
            )
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    async def synchronise(self) -> bool:
        """Make the pending read and write; return whether both succeeded."""
        if self.save_pending and not await self.write_row():
            return False
        if self.load_pending:
            self.load_pending = not await self.read_row()
            self.tried.set()
        return not self.load_pending

    async def write_row(self) -> bool:
        """Write the row; return whether the store responded."""
        departure = self.latest
        result = await self.store.commit(
            DEPARTURE_TABLE,
            put={self.instance: border.dump_departure(departure)},
        )
        if result.is_error():
            self.availability.note_failure(result.error.detail)
            return False
        self.availability.note_answer()
        if departure is self.latest:
            self.save_pending = False
            self.saved.set()
        return True

    async def read_row(self) -> bool:
        """Read the row; return whether the store responded."""
        result = await self.store.read(
            DEPARTURE_TABLE, start=self.instance, limit=1
        )
        if result.is_error():
            self.availability.note_failure(result.error.detail)
            return False
        self.availability.note_answer()
        for row in result.ok.rows:
            if row.key != self.instance:
                continue
            try:
                departure = border.parse_departure(row.value)
            except ValueError as error:
                logging.error('malformed departure row %s: %s', row.key, error)
                continue
            if self.latest is None:
                self.latest = departure
                self.saved.set()
            self.on_loaded(departure)
        return True

    def save(self, departure: model.Departure) -> None:
        """Write a departure; ``run`` does so as soon as the store responds."""
        if departure != self.latest:
            self.latest = departure
            self.held = False
            self.save_again()

    async def wait_until_kept(self) -> bool:
        """Wait until the latest departure would outlive this process.

        Returns:
            Whether the store or another node holds it, so that it may be
            acknowledged.
        """
        if self.latest is None or self.held:
            return True
        if await wait_for(self.saved, MAX_WAIT_S):
            return True
        self.held = await self.wait_for_peer(MAX_PEER_WAIT_S)
        logging.warning(
            'the store has not taken the departure of %s; %s',
            self.latest.upstream,
            'another node holds it'
            if self.held
            else 'no other node holds it, so it is not acknowledged',
            extra={
                'call_fields': {
                    'event': 'departure_unsaved',
                    'upstream': self.latest.upstream,
                    'started_ms': self.latest.started_ms,
                    'held': self.held,
                }
            },
        )
        return self.held

    def is_about(self, upstream: str, started_ms: int) -> bool:
        """Return whether the latest departure is that of a start."""
        return self.latest is not None and (
            self.latest.upstream,
            self.latest.started_ms,
        ) == (upstream, started_ms)

    def keep(self, departure: model.Departure) -> None:
        """Write a departure that other nodes know, unless there is one."""
        if self.latest is None:
            self.latest = departure
            self.held = True
            self.save_again()

    def save_again(self) -> None:
        """Write the row again, such as after the store has lost it."""
        if self.latest is not None:
            self.save_pending = True
            self.saved.clear()
            self.changed.set()

    async def wait_until_tried(self) -> None:
        """Wait for the first attempt to read the row, for a bounded time."""
        await wait_for(self.tried, MAX_WAIT_S)


async def wait_for(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait until an event is set; return whether it was set in time."""
    if event.is_set():
        return True
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    return event.is_set()
