"""Discovers other nodes through the platform's store."""

import asyncio
import collections.abc
import random

from absl import logging

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.tasks import membership
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import store_availability
from oleanderknot.tasks import store_epoch

NODE_TABLE = 'nodes'

# Largest number of nodes dialled after one read; they report the others.
MAX_DIALS_PER_READ = 16

# Bounds of the delay between attempts while the store does not respond.
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.5

# Period of the attempts to connect to nodes that could not be reached, and the
# largest number of them in one attempt. After a restart of all nodes behind a
# cut, nothing else connects both sides before the next read.
REDIAL_PERIOD_S = 2.0
MAX_DIALS_PER_ATTEMPT = 4

# Average number of nodes that make these attempts, so that a machine that is
# gone for good is not dialled by all nodes.
MEAN_DIALLING_NODES = 16

# Average period of reads while no other live node is known.
ISOLATED_READ_PERIOD_S = 2.0

# Average period of reads otherwise. They let groups of nodes that never
# connected find each other; with 1,220 nodes this makes 20 reads per second.
READ_PERIOD_S = 60.0


class StoreDiscovery:
    """Owns the row of this node in the store and reads those of other nodes.

    The row is written before the others are read, so of two nodes that start
    together at least one finds the other. A node that starts again finds its
    row and saves the write. Each read also corrects the row, and a read
    follows each return of the store from a copy, which may have lost or
    revived the row.

    Attributes:
        members: Membership of this node.
        pool: Connections to other nodes.
        store: The platform's store.
        watch: Records whether the store responds.
        epoch: Tracks whether the store has returned from a copy.
        rng: Source of randomness.
        first_start: Whether the whole system starts for the first time, so
            that no row of this node can exist.
        row_written: Whether the row of this node has been written.
        rows_read: Whether this process has read the rows.
        withdrawn: Whether the row of this node is removed for good.
        read_due: Set when the rows must be read without delay.
        unreached: Rows of the nodes that could not be reached since the last
            read.
        unreached_since: Loop time in seconds since which reads have found
            each of them unreached.
    """

    def __init__(
        self,
        *,
        members: membership.Membership,
        pool: peer_pool.PeerPool,
        store: platform.RowStoreClient,
        watch: store_availability.StoreAvailability,
        epoch: store_epoch.StoreEpoch,
        rng: random.Random,
        first_start: bool,
    ) -> None:
        self.first_start = first_start
        self.members = members
        self.pool = pool
        self.store = store
        self.watch = watch
        self.epoch = epoch
        self.rng = rng
        self.row_written = False
        self.rows_read = False
        self.withdrawn = False
        self.read_due = asyncio.Event()
        self.unreached: dict[str, border.NodeRow] = {}
        self.unreached_since: dict[str, float] = {}
        epoch.on_change.append(self.read_due.set)

    async def run(self) -> None:
        """Write the row of this node and discover others until cancelled."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            if await self.sync_rows():
                retry_delay_s = MIN_RETRY_DELAY_S
                await self.wait_for_next_read()
                continue
            # Jitter, since all nodes lose the store at the same time.
            await asyncio.sleep(retry_delay_s * (0.5 + self.rng.random() / 2))
            retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)

    async def wait_for_next_read(self) -> None:
        """Dial the nodes that were not reached until the next read is due."""
        isolated = len(self.members.table.list_live()) <= 1
        period_s = ISOLATED_READ_PERIOD_S if isolated else READ_PERIOD_S
        loop = asyncio.get_running_loop()
        next_read_at = loop.time() + period_s * (0.5 + self.rng.random())
        while (left_s := next_read_at - loop.time()) > 0:
            delay_s = REDIAL_PERIOD_S * (0.5 + self.rng.random())
            try:
                async with asyncio.timeout(min(left_s, delay_s)):
                    await self.read_due.wait()
                return
            except TimeoutError:
                await self.dial_again()

    async def sync_rows(self) -> bool:
        """Correct the row of this node, and connect to unknown nodes.

        Returns:
            Whether the store responded and has the row as it should be.
        """
        self.read_due.clear()
        if self.first_start and not self.row_written:
            if not await self.commit_row():
                return False
        rows = await self.read_rows()
        if rows is not None and not self.is_row_right(rows):
            if not await self.commit_row():
                return False
            rows = await self.read_rows()
        if rows is None or not self.is_row_right(rows):
            return False
        if not self.withdrawn:
            self.row_written = True
            await self.dial_unknown_nodes(rows, MAX_DIALS_PER_READ)
            self.rows_read = True
            await self.remove_abandoned_rows()
            if self.unreached:
                log_unreached(self.unreached)
        return True

    def build_row(self) -> border.NodeRow:
        """Build the row of this node."""
        own = self.members.own
        return border.NodeRow(
            host=own.host, port=own.peer_port, data_centre=own.data_centre
        )

    def is_row_right(self, rows: dict[str, border.NodeRow]) -> bool:
        """Return whether the row of this node is as it should be."""
        right = None if self.withdrawn else self.build_row()
        return rows.get(self.members.own.instance) == right

    async def commit_row(self) -> bool:
        """Write the row, or remove it; return whether the store responded."""
        instance = self.members.own.instance
        if self.withdrawn:
            result = await self.store.commit(NODE_TABLE, remove=[instance])
        else:
            result = await self.store.commit(
                NODE_TABLE, put={instance: self.build_row().model_dump_json()}
            )
        if result.is_error():
            self.watch.note_failure(result.error.detail)
            return False
        self.row_written = not self.withdrawn
        return True

    async def read_rows(self) -> dict[str, border.NodeRow] | None:
        """Read the rows of all nodes; None if the store does not respond."""
        addresses: dict[str, border.NodeRow] = {}
        start = ''
        while True:
            result = await self.store.read(NODE_TABLE, start=start)
            if result.is_error():
                self.watch.note_failure(result.error.detail)
                return None
            self.watch.note_answer()
            self.epoch.observe(result.ok.epoch)
            addresses.update(parse_rows(result.ok.rows))
            if not result.ok.has_more:
                return addresses
            # The smallest key after the last one.
            start = result.ok.rows[-1].key + '\0'

    async def dial_again(self) -> None:
        """Try again to connect to nodes that could not be reached."""
        node_count = len(self.members.table.members)
        if self.rng.random() * node_count <= MEAN_DIALLING_NODES:
            await self.dial_unknown_nodes(
                self.unreached, MAX_DIALS_PER_ATTEMPT
            )

    async def dial_unknown_nodes(
        self, addresses: dict[str, border.NodeRow], max_dials: int
    ) -> None:
        """Connect to a random choice of the nodes that are not known yet.

        Args:
            addresses: Rows of nodes; those that stay unknown are kept as
                ``unreached``.
            max_dials: Largest number of attempts.
        """
        known = {item.instance for item in self.members.table.list_live()}
        unknown = [name for name in addresses if name not in known]
        chosen = self.rng.sample(unknown, min(len(unknown), max_dials))
        results = await asyncio.gather(
            *(
                self.pool.dial(
                    str(addresses[name].host), addresses[name].port, (name, 0)
                )
                for name in chosen
            ),
            return_exceptions=True,
        )
        reached = {
            name
            for name, result in zip(chosen, results, strict=True)
            if not isinstance(result, BaseException)
        }
        self.unreached = {
            name: addresses[name] for name in unknown if name not in reached
        }

    async def remove_abandoned_rows(self) -> None:
        """Remove the rows of nodes of this data centre that are gone.

        An instance that is lost does not remove its row, and nodes that start
        count those that have rows. One that comes back writes its row again.
        """
        now = asyncio.get_running_loop().time()
        self.unreached_since = {
            name: self.unreached_since.get(name, now)
            for name in self.unreached
        }
        own = self.members.own
        abandoned = decisions.list_abandoned(
            own=own.instance,
            live=[
                member.instance
                for member in self.members.table.list_live()
                if member.data_centre == own.data_centre
            ],
            unreached_since={
                name: since
                for name, since in self.unreached_since.items()
                if self.unreached[name].data_centre == own.data_centre
            },
            now=now,
        )
        if not abandoned:
            return
        result = await self.store.commit(NODE_TABLE, remove=abandoned)
        if result.is_error():
            self.watch.note_failure(result.error.detail)
            return
        logging.info(
            'removed the rows of %d nodes that are out of reach: %s',
            len(abandoned),
            ', '.join(abandoned[:5]),
        )

    async def withdraw_row(self) -> None:
        """Remove the row of this node when its instance goes away."""
        self.withdrawn = True
        if self.row_written and not await self.commit_row():
            self.read_due.set()


def parse_rows(
    rows: tuple[model.TableRow, ...],
) -> dict[str, border.NodeRow]:
    """Parse the rows of nodes and skip malformed ones."""
    nodes = {}
    for row in rows:
        try:
            nodes[row.key] = border.NodeRow.model_validate_json(row.value)
        except ValueError as error:
            logging.error('malformed node row %s: %s', row.key, error)
    return nodes


def log_unreached(nodes: collections.abc.Collection[str]) -> None:
    """Log which nodes of the table could not be reached."""
    logging.info(
        'cannot connect to %d nodes listed in the store: %s',
        len(nodes),
        ', '.join(list(nodes)[:5]),
    )
