"""Recovers calls that went into a connection that does not respond."""

import asyncio
import collections.abc

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import call_sessions
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import task_log


class LostCallRecovery:
    """Asks a node over a new connection which calls it has not received.

    Only the node can tell whether a call that got no answer was lost on the
    way. Such a call has not run and can be sent elsewhere; without asking, it
    would be refused as one that may have run.

    Attributes:
        members: Known nodes.
        pool: Connections to other nodes; the new one replaces the old one.
        count: Counts an event by name.
        tasks: Recoveries in progress.
    """

    def __init__(
        self,
        *,
        members: decisions.MemberTable,
        pool: peer_pool.PeerPool,
        count: collections.abc.Callable[[str], None],
    ) -> None:
        self.members = members
        self.pool = pool
        self.count = count
        self.tasks: set[asyncio.Task] = set()

    def start(self, connection: peer_connection.PeerConnection) -> None:
        """Recover the calls of a connection whose probe is unanswered."""
        task = asyncio.create_task(self.recover(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(task_log.log_failure)

    def close(self) -> None:
        """Cancel the recoveries in progress."""
        for task in list(self.tasks):
            task.cancel()

    async def recover(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        """Connect to the node anew and ask about the calls without answer."""
        peer = connection.peer
        member = peer and self.members.members.get(peer.instance)
        if not member or connection.closed:
            return
        try:
            # Another incarnation cannot tell what this one has received.
            fresh = await self.pool.dial(
                member.host,
                member.peer_port,
                (peer.instance, peer.incarnation),
            )
        except ConnectionError:
            # The node itself does not respond.
            return
        numbers = connection.outgoing.list_unanswered()
        states = await asyncio.gather(
            *(self.ask(fresh, connection, number) for number in numbers)
        )
        self.count('peer.recovered')
        logging.info(
            '%s responds on a new connection and has not received %d of %d'
            ' calls',
            peer.instance,
            sum(states),
            len(numbers),
            extra={
                'call_fields': {
                    'event': 'calls_recovered',
                    'member': peer.instance,
                    'calls': len(numbers),
                    'not_received': sum(states),
                }
            },
        )

    async def ask(
        self,
        fresh: peer_connection.PeerConnection,
        connection: peer_connection.PeerConnection,
        number: int,
    ) -> bool:
        """Ask about one call; return whether it is refused as not received."""
        key = call_sessions.format_key(connection.session, number)
        try:
            state = await fresh.query_key(key, 0.0)
        except (ConnectionError, TimeoutError):
            return False
        if state.state != model.OrderState.REFUSED.value:
            return False
        return connection.outgoing.refuse_lost(number)
