"""Finds other nodes through the platform's store."""

import asyncio
import random

from absl import logging

from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.tasks import membership
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import store_watch

TABLE = 'nodes'

# Nodes that a new node connects to; it hears of the others from them.
FIRST_CONTACTS = 16

# Pauses between attempts while the store does not answer.
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 1.5

# Reads again while this node knows no other one.
ALONE_PERIOD_S = 2.0

# Reads now and then, so that halves that never met find each other: with
# 1,220 nodes this makes 20 reads a second.
READ_PERIOD_S = 60.0


class StorePeers:
    """Owns the row of this node and reads those of the others.

    The row is written before the others are read, so of two nodes that start
    together at least one sees the other.

    Attributes:
        members: The table of members.
        pool: Connections to other nodes.
        store: The platform's store.
        watch: Told whether the store answers.
        rng: Source of randomness.
        written: Whether the own row is written.
    """

    def __init__(
        self,
        *,
        members: membership.Membership,
        pool: peer_pool.PeerPool,
        store: platform.RowStoreClient,
        watch: store_watch.StoreWatch,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.pool = pool
        self.store = store
        self.watch = watch
        self.rng = rng
        self.written = False

    async def run(self) -> None:
        """Make this node known and look for others until cancelled."""
        pause = MIN_PAUSE_S
        while True:
            if await self.step():
                pause = MIN_PAUSE_S
                await self.wait()
                continue
            # Full jitter, since all nodes lose the store together.
            await asyncio.sleep(pause * (0.5 + self.rng.random() / 2))
            pause = min(MAX_PAUSE_S, pause * 2)

    async def wait(self) -> None:
        """Wait until the rows are to be read again."""
        if len(self.members.table.list_live()) <= 1:
            await asyncio.sleep(ALONE_PERIOD_S * (0.5 + self.rng.random()))
        else:
            await asyncio.sleep(READ_PERIOD_S * (0.5 + self.rng.random()))

    async def step(self) -> bool:
        """Write the own row once, and connect to nodes that are not known.

        Returns:
            Whether the store answered.
        """
        own = self.members.own
        if not self.written:
            row = border.NodeRow(host=own.host, port=own.peer_port)
            result = await self.store.commit(
                TABLE, put={own.instance: row.model_dump_json()}
            )
            if result.is_error():
                self.watch.note_failure(result.error.detail)
                return False
            self.written = True
        addresses: dict[str, border.NodeRow] = {}
        start = ''
        while True:
            result = await self.store.read(TABLE, start=start)
            if result.is_error():
                self.watch.note_failure(result.error.detail)
                return False
            self.watch.note_answer()
            addresses.update(parse_rows(result.ok.rows))
            if not result.ok.has_more:
                break
            # The smallest key after the last one.
            start = result.ok.rows[-1].key + '\0'
        await self.connect(addresses)
        return True

    async def connect(self, addresses: dict[str, border.NodeRow]) -> None:
        """Connect to some of the nodes that are not known yet."""
        known = {item.instance for item in self.members.table.list_live()}
        unknown = [name for name in addresses if name not in known]
        chosen = self.rng.sample(unknown, min(len(unknown), FIRST_CONTACTS))
        results = await asyncio.gather(
            *(
                self.pool.dial(
                    str(addresses[name].host), addresses[name].port, (name, 0)
                )
                for name in chosen
            ),
            return_exceptions=True,
        )
        failed = [
            name
            for name, result in zip(chosen, results, strict=True)
            if isinstance(result, BaseException)
        ]
        if failed:
            logging.info(
                '%d of %d listed nodes do not answer: %s',
                len(failed),
                len(chosen),
                ', '.join(failed[:5]),
            )

    async def withdraw(self) -> None:
        """Remove the own row when the node stops."""
        if not self.written:
            return
        result = await self.store.commit(
            TABLE, remove=[self.members.own.instance]
        )
        if result.is_error():
            logging.info('the own row was left: %s', result.error.detail)


def parse_rows(
    rows: tuple[model.TableRow, ...],
) -> dict[str, border.NodeRow]:
    """Return the nodes that rows name; malformed rows name none."""
    found = {}
    for row in rows:
        try:
            found[row.key] = border.NodeRow.model_validate_json(row.value)
        except ValueError as error:
            logging.error('row %s names no node: %s', row.key, error)
    return found
