"""Sends non-idempotent calls to the one node that may run them."""

import asyncio
import random
import time
import typing

from expression import Error

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import claim_store
from oleanderknot.tasks import key_query_client
from oleanderknot.tasks import order_claim
from oleanderknot.tasks import order_result
from oleanderknot.tasks import order_sender

if typing.TYPE_CHECKING:
    from oleanderknot.tasks import dispatcher

# Longest pause before a home that cannot be reached is tried again.
MAX_RETRY_PAUSE_S = 0.1


class OrderDispatcher:
    """Owns the retry accounts of keys that entered at this node.

    Attributes:
        identity: Identity of this node.
        call_dispatcher: Chooses upstreams and bounds retries.
        query_client: Queries homes about keys.
        sender: Sends calls to the homes of their keys.
        claims: Claim rows of caller-made keys.
        accounts: Retry accounts by key, shared by its repeats.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        call_dispatcher: 'dispatcher.Dispatcher',
        query_client: key_query_client.KeyQueryClient,
        sender: order_sender.OrderSender,
        claims: claim_store.ClaimStore,
    ) -> None:
        self.identity = identity
        self.call_dispatcher = call_dispatcher
        self.query_client = query_client
        self.sender = sender
        self.claims = claims
        self.accounts = decisions.KeyAccountTable()

    async def dispatch(
        self,
        call: model.Call,
        account: decisions.ChainAccount,
        content: bytes,
        body: model.Body | None,
    ) -> order_result.CallResult:
        """Send a non-idempotent call so that its key runs at most once.

        Args:
            call: The call.
            account: Account that retries are taken from.
            content: First bytes of the request body.
            body: Rest of the request body, if it arrives in parts.

        Returns:
            The answer, or a refusal that says whether the key may have run.
        """
        if not call.key:
            return await self.dispatch_new(call, account, content, body)
        try:
            key = decisions.parse_order_key(call.key)
        except ValueError as error:
            return order_result.refuse_bad_request(call, str(error))
        if key is not None and decisions.is_single_attempt(key):
            return order_result.refuse_bad_request(
                call, 'the key is not yours'
            )
        if call.depth == 0:
            key_account = self.accounts.enter(call, account, time.monotonic())
            if key_account is None:
                return order_result.refuse(
                    call,
                    model.Rule.RETRY_ALLOWANCE,
                    'the key has no retry left for another repeat',
                )
            account = key_account
        if key is None:
            return await self.dispatch_claimed(call, account, content, body)
        return await self.dispatch_home(call, key, account, content, body)

    async def dispatch_new(
        self,
        call: model.Call,
        account: decisions.ChainAccount,
        content: bytes,
        body: model.Body | None,
    ) -> order_result.CallResult:
        """Send a call without a key, with a new key for each attempt."""
        tried: set[str] = set()
        while True:
            member = self.call_dispatcher.choose(call, tried)
            if member is None:
                return Error(self.call_dispatcher.refuse_early(call))
            if tried:
                self.call_dispatcher.record_retry(call)
            tried.add(member.instance)
            try:
                result = await self.sender.attempt(
                    member, call, account, content, body
                )
            except ConnectionError as error:
                result = refuse_unsent(call, str(error))
            now = time.monotonic()
            if result.is_ok():
                self.call_dispatcher.budget.count_base(now)
                return result
            if not self.call_dispatcher.acquire_retry(
                call, account, result, body, now
            ):
                return result
            await self.call_dispatcher.pause()

    async def dispatch_claimed(
        self,
        call: model.Call,
        account: decisions.ChainAccount,
        content: bytes,
        body: model.Body | None,
    ) -> order_result.CallResult:
        """Send a call with a key of the caller's own.

        Another node is tried only if one cannot be reached: after a
        refusal the claim row keeps the key from running anywhere.
        """
        tried: set[str] = set()
        while True:
            member = self.call_dispatcher.choose(call, tried)
            if member is None:
                refusal = self.call_dispatcher.refuse_early(call)
                return await order_claim.refuse_claimed(
                    call, refusal, self.claims
                )
            if tried:
                self.call_dispatcher.record_retry(call)
            tried.add(member.instance)
            try:
                return await self.sender.attempt(
                    member, call, account, content, body
                )
            except ConnectionError as error:
                result = refuse_unsent(call, str(error))
            now = time.monotonic()
            if not self.call_dispatcher.acquire_retry(
                call, account, result, body, now
            ):
                return await order_claim.refuse_claimed(
                    call, result.error, self.claims
                )
            await self.call_dispatcher.pause()

    async def dispatch_home(
        self,
        call: model.Call,
        key: model.OrderKey,
        account: decisions.ChainAccount,
        content: bytes,
        body: model.Body | None,
    ) -> order_result.CallResult:
        """Send a call to the home of its key, and nowhere else.

        A home that cannot be reached is tried again until the deadline.
        ``not run`` is never reported here: an earlier request with the key may
        have arrived through another node.
        """
        home = model.NodeIdentity(
            instance=key.instance, incarnation=key.incarnation, data_centre=''
        )
        while True:
            try:
                connection = None
                if key.instance != self.identity.instance:
                    connection = await self.query_client.connect(
                        key.instance, key.incarnation
                    )
                return await self.sender.send(
                    connection, home, call, call.key, account, content, body
                )
            except key_query_client.HomeLostError as error:
                return order_result.refuse(call, error.rule, str(error))
            except ConnectionError as error:
                detail = str(error)
            remaining_s = call.deadline - time.monotonic()
            if remaining_s <= MAX_RETRY_PAUSE_S or self.query_client.has_ended(
                key.instance, key.incarnation
            ):
                return order_result.refuse(
                    call, model.Rule.KEY_HOME_UNREACHABLE, detail
                )
            await asyncio.sleep(random.random() * MAX_RETRY_PAUSE_S)


def refuse_unsent(call: model.Call, detail: str) -> order_result.CallResult:
    """Refuse an attempt that was sent to no node."""
    return order_result.refuse(
        call,
        model.Rule.CONNECTION_REFUSED,
        detail,
        model.Verdict.NOT_RUN,
    )
