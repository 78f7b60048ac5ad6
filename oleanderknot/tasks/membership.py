"""Spreads the records of nodes and upstreams."""

import asyncio
import collections.abc
import dataclasses
import random

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_pool

PERIOD_S = 0.2

PUSH = 3


class Membership:
    """Owns the table of members and the own record in it.

    Attributes:
        table: Records by instance.
        own: Record of this node.
        pool: Connections to other nodes.
        seeds: Addresses that are tried while no other node is known.
    """

    def __init__(
        self,
        *,
        table: decisions.MemberTable,
        own: model.Member,
        pool: peer_pool.PeerPool,
        seeds: collections.abc.Sequence[tuple[str, int]],
        rng: random.Random,
    ) -> None:
        self.table = table
        self.own = own
        self.pool = pool
        self.seeds = seeds
        self.rng = rng
        table.merge([own])

    def change_own(self, **changes: object) -> None:
        """Change the own record and push it to all connected nodes."""
        self.own = dataclasses.replace(
            self.own, version=self.own.version + 1, **changes
        )
        self.table.merge([self.own])
        for connection in list(self.pool.connections.values()):
            self.push(connection, [self.own])

    def push(
        self,
        connection: peer_connection.PeerConnection,
        members: collections.abc.Iterable[model.Member],
    ) -> None:
        """Send records to another node."""
        connection.send(
            0,
            gossip=wire.Gossip(
                kind=PUSH,
                number=0,
                changes=[wire.wire_member(member) for member in members],
            ),
        )

    def handle(
        self,
        connection: peer_connection.PeerConnection,
        message: wire.Gossip,
    ) -> None:
        """Take a membership message.

        Raises:
            BadFrame: The message is malformed.
        """
        self.table.merge(
            [wire.model_member(item) for item in message.changes or ()]
        )

    def greet(self, connection: peer_connection.PeerConnection) -> None:
        """Send all records to a node that has just connected."""
        self.push(connection, self.table.members.values())

    async def run(self) -> None:
        """Exchange records with random nodes until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S * (0.5 + self.rng.random()))
            try:
                connection = await self.find_partner()
            except ConnectionError:
                continue
            if connection is not None:
                self.greet(connection)

    async def find_partner(self) -> peer_connection.PeerConnection | None:
        """Connect to a random member, or to a seed while none is known."""
        others = [
            member
            for member in self.table.members.values()
            if member.instance != self.own.instance
        ]
        if others:
            return await self.pool.connect(self.rng.choice(others))
        if self.seeds:
            host, port = self.rng.choice(self.seeds)
            return await self.pool.dial(host, port, ('', 0))
        return None
