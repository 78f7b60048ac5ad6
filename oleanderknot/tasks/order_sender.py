"""Sends calls to the homes of their keys."""

import dataclasses
import secrets
import time
import typing

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import key_query_client
from oleanderknot.tasks import order_result
from oleanderknot.tasks import peer_connection

if typing.TYPE_CHECKING:
    from oleanderknot.tasks import dispatcher


class OrderSender:
    """Makes home keys and resolves attempts whose answer was lost.

    Attributes:
        identity: Identity of this node.
        call_dispatcher: Tracks the load of other upstreams.
        query_client: Queries homes about keys.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        call_dispatcher: 'dispatcher.Dispatcher',
        query_client: key_query_client.KeyQueryClient,
    ) -> None:
        self.identity = identity
        self.call_dispatcher = call_dispatcher
        self.query_client = query_client

    def make_key(self, instance: str, incarnation: int, purpose: str) -> str:
        """Make a home key.

        Args:
            instance: Instance of the home.
            incarnation: Incarnation of the home.
            purpose: First character of the random part.
        """
        return decisions.format_order_key(
            model.OrderKey(
                instance=instance,
                incarnation=incarnation,
                created_at=int(time.time()),
                nonce=purpose + secrets.token_hex(16),
            )
        )

    async def attempt(
        self,
        member: model.Member,
        call: model.Call,
        account: decisions.ChainAccount,
        content: bytes,
        body: model.Body | None,
    ) -> order_result.CallResult:
        """Send a call once, to a chosen node, and resolve a lost answer.

        Raises:
            ConnectionError: The call was not sent.
        """
        load = self.call_dispatcher.find_load(member)
        load.outstanding += 1
        try:
            if member.instance == self.identity.instance:
                connection, home = None, self.identity
            else:
                connection = await self.call_dispatcher.pool.connect(member)
                home = connection.peer
            key = call.key or self.make_key(
                home.instance,
                home.incarnation,
                decisions.SINGLE_ATTEMPT_MARKER,
            )
            return await self.send(
                connection, home, call, key, account, content, body
            )
        except ConnectionError:
            self.call_dispatcher.chooser.suspicions.note_unreachable(
                member.instance, time.monotonic()
            )
            raise
        finally:
            load.outstanding -= 1

    async def send(
        self,
        connection: peer_connection.PeerConnection | None,
        home: model.NodeIdentity,
        call: model.Call,
        key: str,
        account: decisions.ChainAccount,
        content: bytes,
        body: model.Body | None,
    ) -> order_result.CallResult:
        """Send a call to the home of its key.

        Raises:
            ConnectionError: The connection closed before the call was sent.
        """
        if connection is not None and connection.closed:
            raise ConnectionError('the connection closed before the call')
        granted = account.grant()
        attempt = dataclasses.replace(call, key=key, allowance=granted)
        if connection is None:
            result = await self.call_dispatcher.runner.run(
                attempt, content, body
            )
        else:
            result = await connection.open(attempt, content, body)
        if (
            connection is not None
            and result.is_error()
            and result.error.rule is model.Rule.CONNECTION_LOST
        ):
            self.call_dispatcher.chooser.suspicions.note_unreachable(
                home.instance, time.monotonic()
            )
            result = await self.query_client.query(
                home.instance, home.incarnation, attempt
            )
        self.call_dispatcher.record_outcome(
            home.instance, result, time.monotonic()
        )
        outcome = result.error if result.is_error() else result.ok
        account.refund(outcome.unspent, granted)
        return result
