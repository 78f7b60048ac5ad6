"""Reconnects to nodes whose connection was lost."""

import asyncio
import random

from oleanderknot.tasks import membership
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import task_log

# Delays before the attempts. A killed node restarts within one or two seconds,
# or five on a busy machine, and learns of other nodes only from the store or
# from a node that connects to it.
RETRY_DELAYS_S = (0.5, 1.0, 1.0, 1.5, 1.5, 1.5, 2.0, 2.0)

# Average number of nodes that try to reconnect to a lost node. With 1,220
# nodes, attempts of all of them would delay the requests of a node that has
# just started.
MEAN_DIALLING_NODES = 16


class PeerReconnector:
    """Owns the attempts to reconnect after an unclean close.

    Attributes:
        members: Membership of this node.
        pool: Connections to other nodes.
        rng: Source of randomness.
        attempts: Running reconnection tasks, by instance.
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
        """Start to reconnect if a connection was lost."""
        if connection.peer is None or connection.write_closed:
            return
        instance = connection.peer.instance
        node_count = len(self.members.table.members)
        if instance in self.attempts or self.pool.find(instance) is not None:
            return
        if self.rng.random() * node_count > MEAN_DIALLING_NODES:
            return
        task = asyncio.create_task(self.reconnect(instance))
        self.attempts[instance] = task
        task.add_done_callback(lambda done: self.attempts.pop(instance, None))
        task.add_done_callback(task_log.log_failure)

    async def reconnect(self, instance: str) -> None:
        """Try to connect to any incarnation of an instance."""
        for delay_s in RETRY_DELAYS_S:
            await asyncio.sleep(delay_s * (0.5 + self.rng.random()))
            member = self.members.table.members.get(instance)
            if member is None or self.pool.find(instance) is not None:
                return
            try:
                await self.pool.dial(
                    member.host, member.peer_port, (instance, 0)
                )
            except ConnectionError:
                continue
            self.members.count_event('peer.found_again')
            return

    def stop(self) -> None:
        """Cancel all attempts."""
        for task in list(self.attempts.values()):
            task.cancel()
