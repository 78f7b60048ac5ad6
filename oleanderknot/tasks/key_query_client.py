"""Queries the home of a key for its state."""

import asyncio
import collections.abc
import random
import time

from expression import Error
from expression import Ok
from expression import Result

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import peer_connection
from oleanderknot.tasks import peer_pool

# Largest pause before the home is queried again; full jitter is applied.
MAX_RETRY_PAUSE_S = 0.1

# Part of the remaining time that is reserved for returning the answer.
ANSWER_MARGIN_S = 0.2

# States of an incarnation that will not answer again.
ENDED_STATES = (model.MemberState.LEFT, model.MemberState.DEAD)


class HomeLostError(Exception):
    """The incarnation that is the home of a key has ended.

    Attributes:
        rule: Rule of the refusal.
    """

    def __init__(self, *, rule: model.Rule, detail: str) -> None:
        super().__init__(detail)
        self.rule = rule


class KeyQueryClient:
    """Connects to the home of a key and queries it.

    Attributes:
        members: Nodes that are known.
        pool: Connections to other nodes.
        count: Counts an event by name.
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

    async def connect(
        self, instance: str, incarnation: int
    ) -> peer_connection.PeerConnection:
        """Return a connection to one incarnation of a node.

        Raises:
            HomeLostError: That incarnation has ended.
            ConnectionError: The node cannot be reached now.
        """
        connection = self.pool.find(instance)
        member = self.members.members.get(instance)
        if connection is None:
            if member is None:
                raise ConnectionError('node %s is not known' % instance)
            connection = await self.pool.connect(member)
        if connection.peer.incarnation != incarnation:
            raise HomeLostError(
                rule=model.Rule.KEY_EARLIER_INCARNATION,
                detail='node %s was restarted since' % instance,
            )
        return connection

    def has_ended(self, instance: str, incarnation: int) -> bool:
        """Return whether an incarnation of a node is known to have ended."""
        member = self.members.members.get(instance)
        return member is not None and (
            member.incarnation > incarnation
            or (
                member.incarnation == incarnation
                and member.state in ENDED_STATES
            )
        )

    async def query(
        self, instance: str, incarnation: int, call: model.Call
    ) -> Result[model.Answer, model.Refusal]:
        """Query a home until it answers or the call's deadline passes.

        Args:
            instance: Instance of the home.
            incarnation: Incarnation of the home.
            call: The call; its key is queried.

        Returns:
            The outcome of the key.
        """
        self.count('orders.inquiry')
        while True:
            try:
                async with asyncio.timeout_at(call.deadline):
                    return await self.query_once(instance, incarnation, call)
            except HomeLostError as error:
                return refuse(call, error.rule, str(error))
            except (OSError, TimeoutError) as error:
                detail = str(error) or 'no answer from node %s' % instance
            remaining_s = call.deadline - time.monotonic()
            if remaining_s <= MAX_RETRY_PAUSE_S or self.has_ended(
                instance, incarnation
            ):
                return refuse(call, model.Rule.KEY_HOME_UNREACHABLE, detail)
            await asyncio.sleep(random.random() * MAX_RETRY_PAUSE_S)

    async def query_once(
        self, instance: str, incarnation: int, call: model.Call
    ) -> Result[model.Answer, model.Refusal]:
        """Query a home once.

        Raises:
            HomeLostError: That incarnation of the node has ended.
            OSError: The node cannot be reached, or the connection was lost.
            TimeoutError: The node did not answer.
        """
        connection = await self.connect(instance, incarnation)
        remaining_s = call.deadline - time.monotonic() - ANSWER_MARGIN_S
        state = await connection.query_key(call.key, max(0.0, remaining_s))
        return build_result(call, state)


def build_result(
    call: model.Call, message: wire.KeyState
) -> Result[model.Answer, model.Refusal]:
    """Convert the key state that a home returned to a result."""
    try:
        state, answer, refusal = wire.parse_key_state(message)
    except wire.BadFrame as error:
        return refuse(call, model.Rule.KEY_HOME_UNREACHABLE, str(error))
    if answer is not None:
        return Ok(answer)
    if state is model.OrderState.RUNNING:
        return refuse(
            call,
            model.Rule.KEY_RUNNING,
            'the request still ran when its deadline came',
        )
    if refusal is not None and (
        refusal.verdict is model.Verdict.MAY_HAVE_RUN
        or state is model.OrderState.REFUSED
    ):
        return Error(refusal)
    return refuse(
        call,
        model.Rule.KEY_ANSWER_NOT_KEPT,
        'the home of the key did not keep the answer',
    )


def refuse(
    call: model.Call, rule: model.Rule, detail: str
) -> Result[model.Answer, model.Refusal]:
    """Refuse a call whose key may have run."""
    return Error(
        model.build_refusal(call, model.Verdict.MAY_HAVE_RUN, rule, detail)
    )
