"""Sends requests about rate limits and matches the answers to them."""

import asyncio
import collections.abc
import itertools

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import quota_exchange
from oleanderknot.tasks import quota_members
from oleanderknot.tasks import quota_waiter
from oleanderknot.tasks import task_log

# Time within which a node answers. A node that has no tokens answers at once
# that the request waits, so a longer time only delays the use of another one.
ANSWER_TIMEOUT_S = 0.1

# Additional time for opening a connection.
CONNECT_TIMEOUT_S = 0.1

HandleRequest = collections.abc.Callable[[str, model.QuotaRequest], None]


class QuotaLink:
    """Owns the requests of this node that have no answer yet.

    Attributes:
        members: Nodes that may be asked.
        clock: Returns the monotonic time in seconds.
        handle_request: Handles a request of an instance, also of this one.
        exchanges: Requests without a final answer, by number.
        numbers: Source of request numbers.
        tasks: Running attempts to connect.
    """

    def __init__(
        self,
        *,
        members: quota_members.QuotaMembers,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self.members = members
        self.clock = clock
        self.handle_request: HandleRequest = lambda sender, request: None
        self.exchanges: dict[int, quota_exchange.QuotaExchange] = {}
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task] = set()

    def send(
        self,
        instance: str,
        *,
        on_grant: collections.abc.Callable[[model.QuotaGrant, float], None],
        on_failed: collections.abc.Callable[[], None] | None = None,
        **fields: object,
    ) -> None:
        """Send a request to a node, or handle it if it is this one.

        Args:
            instance: The node.
            on_grant: Called with each answer and the time of sending.
            on_failed: Called once if no answer comes in time; the node is
                not asked again for a while. None to ignore that.
            fields: Fields of the request except its number.
        """
        request = model.QuotaRequest(number=next(self.numbers), **fields)
        exchange = quota_exchange.QuotaExchange(
            instance=instance,
            sent_at=self.clock(),
            on_grant=on_grant,
            on_failed=on_failed,
        )
        self.exchanges[request.number] = exchange
        if instance == self.members.identity.instance:
            self.schedule(request.number, exchange, decisions.LIFETIME_S)
            self.handle_request(instance, request)
            return
        connection = self.members.pool.find(instance)
        if connection is not None:
            self.schedule(request.number, exchange, ANSWER_TIMEOUT_S)
            self.send_on(connection, request)
            return
        self.schedule(
            request.number, exchange, ANSWER_TIMEOUT_S + CONNECT_TIMEOUT_S
        )
        task = asyncio.create_task(self.connect(exchange, request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(task_log.log_failure)

    async def connect(
        self,
        exchange: quota_exchange.QuotaExchange,
        request: model.QuotaRequest,
    ) -> None:
        """Open a connection and send a request on it."""
        member = self.members.table.members.get(exchange.instance)
        try:
            if member is None:
                raise ConnectionError('%s is not known' % exchange.instance)
            connection = await self.members.pool.connect(
                member, any_incarnation=True
            )
        except ConnectionError:
            self.expire(request.number)
            return
        if not exchange.failed:
            self.send_on(connection, request)

    def send_on(
        self,
        connection: peer_connection.PeerConnection,
        request: model.QuotaRequest,
    ) -> None:
        """Send a request on a connection."""
        if request.organisation:
            # Questions for support are frequent and lost ones repeated, so
            # they need no check of the connection of their own.
            connection.liveness.expect_response()
        connection.send(0, quota_request=wire.quota_request_to_wire(request))

    def reply(self, instance: str, grant: model.QuotaGrant) -> None:
        """Send an answer to a node; one that cannot be reached gets none."""
        if instance == self.members.identity.instance:
            self.handle_grant(instance, grant)
            return
        connection = self.members.pool.find(instance)
        if connection is not None:
            connection.send(0, quota_grant=wire.quota_grant_to_wire(grant))

    def handle_grant(self, sender: str, grant: model.QuotaGrant) -> None:
        """Pass an answer to the sender of its request."""
        exchange = self.exchanges.get(grant.number)
        if exchange is None or exchange.instance != sender:
            return
        self.members.note_response(sender)
        if grant.queued:
            if not exchange.failed:
                self.schedule(
                    grant.number,
                    exchange,
                    decisions.HOLD_S + ANSWER_TIMEOUT_S,
                )
        else:
            self.finish(grant.number)
        exchange.on_grant(grant, exchange.sent_at)

    def schedule(
        self,
        number: int,
        exchange: quota_exchange.QuotaExchange,
        timeout_s: float,
    ) -> None:
        """Set the time at which a request without an answer has failed."""
        if exchange.timer is not None:
            exchange.timer.cancel()
        exchange.due = self.clock() + timeout_s
        exchange.timer = asyncio.get_running_loop().call_later(
            timeout_s, self.expire, number
        )

    def expire(self, number: int) -> None:
        """Report a request that has no answer in time, once.

        Tokens that arrive later can still be used until they expire.
        """
        exchange = self.exchanges.get(number)
        if exchange is None or exchange.failed:
            self.finish(number)
            return
        now = self.clock()
        if now - exchange.due > quota_waiter.STALL_S:
            # This process was stalled, and the answer may wait to be read.
            self.schedule(number, exchange, quota_waiter.STALL_S)
            return
        exchange.failed = True
        self.schedule(number, exchange, decisions.LIFETIME_S)
        if exchange.on_failed is not None:
            self.members.note_failure(exchange.instance, now)
            exchange.on_failed()

    def finish(self, number: int) -> None:
        """Remove a request."""
        exchange = self.exchanges.pop(number, None)
        if exchange is not None and exchange.timer is not None:
            exchange.timer.cancel()

    def close(self) -> None:
        """Drop all requests."""
        for number in list(self.exchanges):
            self.finish(number)
        for task in list(self.tasks):
            task.cancel()
