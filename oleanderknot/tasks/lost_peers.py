"""Tries to reach nodes again whose connection was lost."""

import asyncio
import random

from oleanderknot.tasks import membership
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import task_log

# A killed node is back after one or two seconds, on a busy machine after five,
# and learns who else there is only from the store or from a node that calls on
# it.
PAUSES_S = (0.5, 1.0, 1.0, 1.5, 1.5, 1.5, 2.0, 2.0)

# Nodes that try on the average. With 1,220 nodes, attempts of all of them
# would keep a node that has just started from its requests.
CALLERS = 16


class LostPeers:
    """Owns the attempts to reach nodes that have gone without a goodbye.

    Attributes:
        members: The table of members.
        pool: Connections to other nodes.
        rng: Source of randomness.
        attempts: Running attempts by instance.
    """

    def __init__(
        self,
        *,
        members: membership.Membership,
        pool: peer_pool.PeerPool,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.pool = pool
        self.rng = rng
        self.attempts: dict[str, asyncio.Task] = {}

    def note_closed(self, connection: peer_connection.PeerConnection) -> None:
        """Take a connection that has ended."""
        if connection.peer is None or connection.finished:
            return
        instance = connection.peer.instance
        nodes = len(self.members.table.members)
        if instance in self.attempts or self.pool.find(instance) is not None:
            return
        if self.rng.random() * nodes > CALLERS:
            return
        task = asyncio.create_task(self.call(instance))
        self.attempts[instance] = task
        task.add_done_callback(lambda done: self.attempts.pop(instance, None))
        task.add_done_callback(task_log.log_failure)

    async def call(self, instance: str) -> None:
        """Try to reach a node, whichever life of it is there."""
        for pause_s in PAUSES_S:
            await asyncio.sleep(pause_s * (0.5 + self.rng.random()))
            member = self.members.table.members.get(instance)
            if member is None or self.pool.find(instance) is not None:
                return
            try:
                await self.pool.dial(
                    member.host, member.peer_port, (instance, 0)
                )
            except ConnectionError:
                continue
            self.members.count('peer.found_again')
            return

    def stop(self) -> None:
        """Give up all attempts."""
        for task in list(self.attempts.values()):
            task.cancel()
