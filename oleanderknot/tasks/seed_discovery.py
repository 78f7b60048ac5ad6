"""Discovers other nodes through seed addresses and rows in the table."""

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

# Bounds of the delay between attempts while no other node is known.
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0

# Average period of the reads of one data centre, shared by its nodes. With
# 11 data centres the table gets about two reads per second in total.
ROW_READ_PERIOD_S = 10.0

# Addresses dialled per row of a data centre without a known live member.
MAX_DIALS_PER_ROW = 3


class SeedDiscovery:
    """Connects to seed addresses and to addresses listed in the table.

    Attributes:
        members: Membership of this node.
        pool: Connections to other nodes.
        table: Client of the platform's table; None if there is none.
        seeds: Seed addresses from the settings, as ``host:port``.
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
        """Key of the row that lists this data centre's addresses."""
        return border.PEER_ROW_PREFIX + self.members.own.data_centre

    def list_local_members(self) -> list[model.Member]:
        """Return the live and suspected members of this data centre."""
        return [
            record
            for record in self.members.table.list_data_centre(
                self.members.own.data_centre
            )
            if record.state <= model.MemberState.SUSPECT
        ]

    def is_isolated(self) -> bool:
        """Return whether no other live member is known."""
        return len(self.members.table.list_live()) <= 1

    async def run(self) -> None:
        """Discover other nodes until cancelled."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            await self.dial_addresses(self.seeds)
            await self.sync_rows()
            if self.is_isolated():
                # Jitter spreads the attempts of nodes that start together.
                await asyncio.sleep(
                    retry_delay_s * (0.5 + self.rng.random() / 2)
                )
                retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)
                continue
            retry_delay_s = MIN_RETRY_DELAY_S
            await self.wait_for_next_read()

    async def wait_for_next_read(self) -> None:
        """Wait until the next read of the rows is due.

        The wait ends early when no other live member is known.
        """
        remaining_s = ROW_READ_PERIOD_S * max(
            1, len(self.list_local_members())
        )
        remaining_s *= 0.5 + self.rng.random()
        while remaining_s > 0 and not self.is_isolated():
            await asyncio.sleep(min(remaining_s, ROW_READ_PERIOD_S))
            remaining_s -= ROW_READ_PERIOD_S

    async def dial_addresses(
        self, addresses: collections.abc.Iterable[str]
    ) -> None:
        """Dial the addresses that belong to no known live member."""
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
        """Read the rows of all data centres and refresh this one's row."""
        if self.table is None:
            return
        result = await self.table.scan(border.PEER_ROW_PREFIX)
        if result.is_error():
            logging.warning(
                'cannot read the peer rows: %s', result.error.detail
            )
            return
        version = 0
        own_addresses: tuple[str, ...] = ()
        live_data_centres = {
            record.data_centre for record in self.members.table.list_live()
        }
        local_instances = [
            record.instance
            for record in self.list_local_members()
            if record.instance != self.members.own.instance
        ]
        for row in result.ok:
            addresses = parse_row(row)
            data_centre = row.key.removeprefix(border.PEER_ROW_PREFIX)
            if data_centre == self.members.own.data_centre:
                version, own_addresses = row.version, addresses
                if not local_instances:
                    await self.dial_addresses(addresses)
            elif data_centre not in live_data_centres:
                count = min(len(addresses), MAX_DIALS_PER_ROW)
                await self.dial_addresses(self.rng.sample(addresses, count))
        await self.refresh_row(version, own_addresses)

    async def refresh_row(
        self, version: int, addresses: tuple[str, ...]
    ) -> None:
        """Rewrite this data centre's row if too few listed nodes are live."""
        planned = decisions.plan_peer_row(
            addresses,
            table=self.members.table,
            data_centre=self.members.own.data_centre,
            draw=self.rng.randrange,
        )
        if planned is None:
            return
        # Without the delay, nodes that read the same row would write at once.
        await asyncio.sleep(self.rng.random() * 0.2)
        row = border.PeerRow(addresses=tuple(planned))
        result = await self.table.commit(
            {self.row_key: version}, {self.row_key: row.model_dump_json()}
        )
        if result.is_error():
            # Another node may have written first; the next read shows it.
            logging.info('cannot write the peer row: %s', result.error.detail)
        else:
            logging.info('wrote the peer row: %s', ', '.join(planned))


def parse_row(row: model.TableRow) -> tuple[str, ...]:
    """Return the addresses of a row, or none if it is malformed."""
    try:
        return border.parse_peer_row(row.value)
    except ValueError as error:
        logging.error('malformed peer row %s: %s', row.key, error)
        return ()
