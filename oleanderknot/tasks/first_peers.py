"""Finds the first other nodes and keeps the way to them open."""

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

# Pauses between attempts while no other node is known.
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 5.0

# A data centre reads its row this often, whatever its number of nodes: with
# 11 data centres that is about two reads a second for the whole system.
ROW_PERIOD_S = 10.0

ADDRESSES_PER_ROW = 3


class FirstPeers:
    """Connects to seeds and to addresses from the table.

    Attributes:
        members: The table of members.
        pool: Connections to other nodes.
        table: Client of the platform's table; None without one.
        seeds: Addresses from the settings.
        rng: Source of randomness.
    """

    def __init__(
        self,
        *,
        members: membership.Membership,
        pool: peer_pool.PeerPool,
        table: platform.TableClient | None,
        seeds: collections.abc.Sequence[str],
        rng: random.Random,
    ) -> None:
        self.members = members
        self.pool = pool
        self.table = table
        self.seeds = seeds
        self.rng = rng

    @property
    def row_key(self) -> str:
        """Key of the row of the own data centre."""
        return border.PEER_ROW_PREFIX + self.members.own.data_centre

    def list_neighbours(self) -> list[model.Member]:
        """Return the live members of the own data centre."""
        return [
            record
            for record in self.members.table.list_data_centre(
                self.members.own.data_centre
            )
            if record.state <= model.MemberState.SUSPECT
        ]

    def is_alone(self) -> bool:
        """Return whether no other live member is known."""
        return len(self.members.table.list_live()) <= 1

    async def run(self) -> None:
        """Look for other nodes until cancelled."""
        pause = MIN_PAUSE_S
        while True:
            await self.try_addresses(self.seeds)
            await self.sync_rows()
            if self.is_alone():
                # Full jitter, since many nodes may start at once.
                await asyncio.sleep(pause * (0.5 + self.rng.random() / 2))
                pause = min(MAX_PAUSE_S, pause * 2)
                continue
            pause = MIN_PAUSE_S
            await self.wait_for_turn()

    async def wait_for_turn(self) -> None:
        """Wait for this node's next turn, or until it is alone."""
        left = ROW_PERIOD_S * max(1, len(self.list_neighbours()))
        left *= 0.5 + self.rng.random()
        while left > 0 and not self.is_alone():
            await asyncio.sleep(min(left, ROW_PERIOD_S))
            left -= ROW_PERIOD_S

    async def try_addresses(
        self, addresses: collections.abc.Iterable[str]
    ) -> None:
        """Connect to the addresses that no live member is known at."""
        known = {
            decisions.format_address(record)
            for record in self.members.table.list_live()
        }
        for address in addresses:
            if address in known:
                continue
            host, _, port = address.rpartition(':')
            try:
                await self.pool.dial(host, int(port), ('', 0))
            except ConnectionError:
                continue

    async def sync_rows(self) -> None:
        """Read the rows of all data centres and refresh the own one."""
        if self.table is None:
            return
        result = await self.table.scan(border.PEER_ROW_PREFIX)
        if result.is_error():
            logging.warning('peer rows: %s', result.error.detail)
            return
        version = 0
        own: tuple[str, ...] = ()
        live = {
            record.data_centre for record in self.members.table.list_live()
        }
        neighbours = [
            record.instance
            for record in self.list_neighbours()
            if record.instance != self.members.own.instance
        ]
        for row in result.ok:
            addresses = parse_row(row)
            name = row.key.removeprefix(border.PEER_ROW_PREFIX)
            if name == self.members.own.data_centre:
                version, own = row.version, addresses
                if not neighbours:
                    await self.try_addresses(addresses)
            elif name not in live:
                count = min(len(addresses), ADDRESSES_PER_ROW)
                await self.try_addresses(self.rng.sample(addresses, count))
        await self.refresh_row(version, own)

    async def refresh_row(
        self, version: int, addresses: tuple[str, ...]
    ) -> None:
        """Write the own data centre's row if too few of it are alive."""
        planned = decisions.plan_peer_row(
            addresses,
            table=self.members.table,
            data_centre=self.members.own.data_centre,
            draw=self.rng.randrange,
        )
        if planned is None:
            return
        # Nodes that see the same old row would otherwise write together.
        await asyncio.sleep(self.rng.random() * 0.2)
        row = border.PeerRow(addresses=tuple(planned))
        result = await self.table.commit(
            {self.row_key: version}, {self.row_key: row.model_dump_json()}
        )
        if result.is_error():
            # Another node may have written first; the next turn decides.
            logging.info('peer row not written: %s', result.error.detail)
        else:
            logging.info('peer row written: %s', ', '.join(planned))


def parse_row(row: model.TableRow) -> tuple[str, ...]:
    """Return the addresses of a row; a malformed row holds none."""
    try:
        return border.parse_peer_row(row.value)
    except ValueError as error:
        logging.error('%s: %s', row.key, error)
        return ()
