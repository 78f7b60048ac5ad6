"""Runs non-idempotent requests at most once."""

import asyncio
import collections.abc
import time

from expression import Error

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import claim_store
from oleanderknot.tasks import digest_body
from oleanderknot.tasks import drained_body
from oleanderknot.tasks import order_claim
from oleanderknot.tasks import order_repeat
from oleanderknot.tasks import order_result
from oleanderknot.tasks import order_table

RunFunction = collections.abc.Callable[
    [model.Call, bytes, model.Body | None],
    collections.abc.Awaitable[order_result.CallResult],
]

# Details of refusals of home keys that this node cannot run.
REFUSAL_DETAILS = {
    model.Rule.KEY_EARLIER_INCARNATION: (
        'another life of a node is the home of the key'
    ),
    model.Rule.KEY_EXPIRED: 'the key is too old, or from the future',
    model.Rule.BAD_REQUEST: 'the key belongs to another service',
}


class OrderRunner:
    """Runs orders and owns the records of the keys of this home.

    A run has a task of its own, so that neither a deadline nor the
    disconnect of a caller can cancel it.

    Attributes:
        identity: Identity of this node.
        check_call: Returns why a call cannot run at all, or None.
        run_call: Admits a call and runs it at the own upstream.
        find_service: Returns the service of the own upstream.
        claims: Claim rows of caller-made keys.
        query_home: Queries another home about the key of a call.
        count: Counts an event by name.
        table: Records and running tasks.
        records: Records by key.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        check_call: collections.abc.Callable[
            [model.Call], model.Refusal | None
        ],
        run_call: RunFunction,
        find_service: collections.abc.Callable[[], str],
        claims: claim_store.ClaimStore,
        query_home: order_claim.QueryFunction,
        count: collections.abc.Callable[[str], None],
        table: order_table.OrderTable,
    ) -> None:
        self.identity = identity
        self.check_call = check_call
        self.run_call = run_call
        self.find_service = find_service
        self.claims = claims
        self.query_home = query_home
        self.count = count
        self.table = table
        self.records = table.records

    async def run(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> order_result.CallResult:
        """Run a request, join its running task, or repeat its outcome.

        Args:
            call: A non-idempotent call with a key.
            content: First bytes of the request body.
            body: Rest of the request body, if it arrives in parts.

        Returns:
            The answer, or a refusal that says whether the key may have run.
        """
        now = time.time()
        try:
            key = decisions.parse_order_key(call.key)
        except ValueError as error:
            return order_result.refuse_bad_request(call, str(error))
        if not call.key:
            return order_result.refuse_bad_request(call, 'the key is missing')
        if key is not None:
            rule = decisions.check_home_key(
                key,
                home=self.identity,
                has_record=self.records.find(call.key, now) is not None,
                now=now,
                services=(call.service, self.find_service()),
            )
            if rule is not None:
                return order_result.refuse(call, rule, REFUSAL_DETAILS[rule])
        digest = b''
        if key is None or not decisions.is_single_attempt(key):
            digest = digest_body.digest_request(call, content)
        created_at = now if key is None else key.created_at
        decision = self.records.begin(
            call.key,
            digest=digest,
            expires_at=created_at + decisions.KEY_RETENTION_S,
            now=now,
        )
        if decision is model.KeyDecision.RUN:
            coroutine = self.run_and_record(call, key, digest, content, body)
            return await self.wait_for_result(
                call, self.table.start(call.key, coroutine)
            )
        self.count('orders.' + decision.value)
        return await order_repeat.answer_repeat(
            self.table, call, key, decision, content, body
        )

    async def wait_for_result(
        self, call: model.Call, task: asyncio.Task
    ) -> order_result.CallResult:
        """Wait for the first request's result, at most to its deadline."""
        try:
            async with asyncio.timeout_at(call.deadline):
                return await asyncio.shield(task)
        except TimeoutError:
            task.add_done_callback(discard_result)
            return Error(
                model.build_refusal(
                    call,
                    model.Verdict.MAY_HAVE_RUN,
                    model.Rule.DEADLINE,
                    'the request still ran when its deadline came',
                )
            )
        except asyncio.CancelledError:
            task.add_done_callback(discard_result)
            raise

    async def run_and_record(
        self,
        call: model.Call,
        key: model.OrderKey | None,
        digest: bytes,
        content: bytes,
        body: model.Body | None,
    ) -> order_result.CallResult:
        """Run a request and record its outcome."""
        result = order_result.build_internal_error(call)
        final = True
        digested_body = None
        try:
            if body is not None:
                body = digested_body = digest_body.DigestBody(
                    body=body,
                    first=content,
                    length=digest_body.find_content_length(call),
                )
            result, final = await self.execute(
                call, key, digest, content, body
            )
        finally:
            self.table.end(call.key)
            self.record(call, key, result, digested_body, final)
        if result.is_ok() and result.ok.body is not None:
            result.ok.body = drained_body.DrainedBody(body=result.ok.body)
        return result

    async def execute(
        self,
        call: model.Call,
        key: model.OrderKey | None,
        digest: bytes,
        content: bytes,
        body: model.Body | None,
    ) -> tuple[order_result.CallResult, bool]:
        """Run a request that no other request of its key has run.

        Returns:
            The result, and whether it is final for all repeats.
        """
        body_refusal = None
        if body is not None:
            # The upstream is called only after a part of the body has arrived,
            # so that a request that ends earlier is known not to have run.
            try:
                content += await body.read()
            except model.IncompleteBodyError as error:
                body_refusal = model.build_refusal(
                    call, model.Verdict.NOT_RUN, error.rule, str(error)
                )
        if key is None:
            return await order_claim.run_claimed(
                call,
                digest,
                claims=self.claims,
                run=lambda: self.run_call(call, content, body),
                query_home=self.query_home,
                refusal=body_refusal or self.check_call(call),
            )
        if body_refusal is not None:
            return Error(body_refusal), True
        return await self.run_call(call, content, body), True

    def record(
        self,
        call: model.Call,
        key: model.OrderKey | None,
        result: order_result.CallResult,
        digested_body: digest_body.DigestBody | None,
        final: bool,
    ) -> None:
        """Record the outcome of a run."""
        record = self.records.records[call.key]
        if digested_body is not None:
            record.body_digest = digested_body.digest()
        if result.is_ok():
            self.records.finish(call.key, answer=result.ok)
        elif not final:
            self.records.discard(call.key)
        elif result.error.verdict is model.Verdict.MAY_HAVE_RUN:
            self.records.finish(call.key, refusal=result.error)
        elif key is not None and decisions.is_single_attempt(key):
            self.records.discard(call.key)
        else:
            self.records.refuse(
                call.key, refusal=result.error, expires_at=record.expires_at
            )


def discard_result(task: asyncio.Task) -> None:
    """Discard an answer without a waiter; a callback for ``Task``."""
    if task.cancelled() or task.exception() is not None:
        return
    result = task.result()
    if result.is_ok() and result.ok.body is not None:
        result.ok.body.cancel()
