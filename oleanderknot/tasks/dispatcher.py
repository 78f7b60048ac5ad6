"""Sends calls to upstreams and retries them."""

import asyncio
import collections.abc
import dataclasses
import random
import time

from expression import Error
from expression import Result

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import early_refusal
from oleanderknot.tasks import order_dispatcher
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import runner
from oleanderknot.tasks import upstream_chooser

# Upper bound of the random delay before a retry (full jitter), so that the
# retries of many calls do not arrive at the same time.
MAX_RETRY_DELAY_S = 0.02

# Rules whose refusals are not retried. Every node computes the same priority
# number, so another node would refuse the call as well, and a deadline that
# cannot be met now cannot be met later either.
NON_RETRYABLE_RULES = (
    model.Rule.LEVEL,
    model.Rule.EARLY_REFUSAL,
    model.Rule.DEADLINE,
)

# Called with the call, the rule, the verdict and one sentence of detail.
RecordFunction = collections.abc.Callable[
    [model.Call, model.Rule, model.Verdict, str], None
]


class Dispatcher:
    """Owns the attempts and the retry budget of calls made by this node.

    Attributes:
        identity: Identity of this node.
        members: Known nodes and upstreams.
        policy: Policy in force.
        runner: Runs calls on the local upstream.
        pool: Connections to other nodes.
        record: Counts and logs a decision.
        on_root_call: Called with each call that enters the system here.
        chooser: Chooses the upstream of each attempt by load.
        budget: Limits retries to a share of the successful calls.
        rng: Random number generator.
        orders: Sends non-idempotent calls.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        members: decisions.MemberTable,
        policy: decisions.PolicyTable,
        runner: runner.Runner,
        pool: peer_pool.PeerPool,
        record: RecordFunction,
        on_root_call: collections.abc.Callable[[model.Call], None],
        rng: random.Random | None = None,
    ) -> None:
        self.identity = identity
        self.members = members
        self.policy = policy
        self.runner = runner
        self.pool = pool
        self.record = record
        self.on_root_call = on_root_call
        self.budget = decisions.RetryBudget()
        self.rng = rng or random.Random()
        self.chooser = upstream_chooser.UpstreamChooser(
            identity=identity,
            members=members,
            policy=policy,
            runner=runner,
            rng=self.rng,
        )
        self.orders: order_dispatcher.OrderDispatcher | None = None

    async def dispatch(
        self,
        call: model.Call,
        account: decisions.ChainAccount,
        content: bytes,
        body: model.Body | None,
    ) -> Result[model.Answer, model.Refusal]:
        """Send a call to an upstream and retry it within its allowance.

        Args:
            call: The call.
            account: Account that retries are charged to.
            content: First bytes of the request body.
            body: Rest of the request body, if it arrives in parts.

        Returns:
            The answer, or the refusal of the last attempt.
        """
        if not call.idempotent:
            return await self.orders.dispatch(call, account, content, body)
        tried: set[str] = set()
        received_since = 0.0
        may_have_run = False
        while True:
            member = self.choose(call, tried)
            if member is None:
                result = Error(self.refuse_early(call))
                return include_earlier_attempts(result, may_have_run)
            if tried:
                self.record_retry(call)
            tried.add(member.instance)
            granted = account.grant()
            attempt = dataclasses.replace(call, allowance=granted)
            started = time.monotonic()
            result = await self.attempt(
                member, attempt, content, body, received_since
            )
            now = time.monotonic()
            self.record_outcome(member.instance, result, now)
            if result.is_ok():
                account.refund(result.ok.unspent, granted)
                if not self.is_shed(result.ok, call, body):
                    self.budget.count_base(now)
                    return result
            else:
                account.refund(result.error.unspent, granted)
                if result.error.rule is model.Rule.CONNECTION_LOST:
                    # Another pooled connection may have gone silent together
                    # with this one, so a retry uses only a connection that
                    # has received data since; a new one costs 1 ms.
                    received_since = started
            result = include_earlier_attempts(result, may_have_run)
            if not self.acquire_retry(call, account, result, body, now):
                return result
            may_have_run = (
                result.is_ok()
                or result.error.verdict is not model.Verdict.NOT_RUN
            )
            await self.pause()

    def choose(
        self, call: model.Call, tried: collections.abc.Set[str]
    ) -> model.Member | None:
        """Choose the node whose upstream gets the next attempt."""
        return self.chooser.choose(call, tried)

    def find_load(self, member: model.Member) -> decisions.InstanceLoad:
        """Return the load of an instance."""
        return self.chooser.loads.find(member)

    def record_outcome(
        self,
        instance: str,
        result: Result[model.Answer, model.Refusal],
        now: float,
    ) -> None:
        """Record what an answer or a refusal reveals about an instance."""
        if result.is_ok():
            self.chooser.suspicions.note_answer(instance)
        else:
            self.chooser.suspicions.note_failure(instance, result.error, now)
        outcome = result.ok if result.is_ok() else result.error
        self.chooser.loads.apply_reports(instance, outcome.reports, now)

    async def attempt(
        self,
        member: model.Member,
        call: model.Call,
        content: bytes,
        body: model.Body | None,
        received_since: float,
    ) -> Result[model.Answer, model.Refusal]:
        """Send a call once, to the given node."""
        load = self.find_load(member)
        load.outstanding += 1
        try:
            if member.instance == self.identity.instance:
                return await self.runner.run(call, content, body)
            connection = self.pool.find(member.instance, received_since)
            if connection is None:
                connection = await self.pool.connect(member, received_since)
            return await connection.open(call, content, body)
        except ConnectionError as error:
            refusal = model.build_refusal(
                call,
                model.Verdict.NOT_RUN,
                model.Rule.CONNECTION_REFUSED,
                str(error),
            )
            refusal.unspent = call.allowance
            return Error(refusal)
        finally:
            load.outstanding -= 1

    def is_shed(
        self, answer: model.Answer, call: model.Call, body: model.Body | None
    ) -> bool:
        """Return whether an upstream shed a call that can be retried."""
        return (
            answer.status in runner.OVERLOAD_STATUSES
            and call.idempotent
            and body is None
            and answer.body is None
        )

    def acquire_retry(
        self,
        call: model.Call,
        account: decisions.ChainAccount,
        result: Result[model.Answer, model.Refusal],
        body: model.Body | None,
        now: float,
    ) -> bool:
        """Return whether a retry is allowed, and charge it to the budgets."""
        if body is not None or now + MAX_RETRY_DELAY_S >= call.deadline:
            return False
        if result.is_error():
            if result.error.rule in NON_RETRYABLE_RULES:
                return False
            verdict = result.error.verdict
            if verdict is not model.Verdict.NOT_RUN and not call.idempotent:
                return False
        if account.remaining <= 0:
            return False
        policy, _ = self.policy.find_global()
        if not self.budget.take(now, policy.retry_ratio, policy.retry_minimum):
            return False
        return account.spend()

    async def pause(self) -> None:
        """Wait a random time before a retry."""
        await asyncio.sleep(self.rng.random() * MAX_RETRY_DELAY_S)

    def refuse_early(self, call: model.Call) -> model.Refusal:
        """Build the refusal of a call that no upstream would admit."""
        return early_refusal.build_early_refusal(
            call,
            self.members,
            self.policy,
            self.chooser.find_service_levels(call.service, call.route)[0],
        )

    def record_retry(self, call: model.Call) -> None:
        """Record that a call is retried."""
        self.record_decision(call, model.Rule.RETRIED, model.Verdict.NOT_RUN)

    def record_decision(
        self,
        call: model.Call,
        rule: model.Rule,
        verdict: model.Verdict,
        detail: str = '',
    ) -> None:
        """Record a decision about a call."""
        self.record(call, rule, verdict, detail)


def include_earlier_attempts(
    result: Result[model.Answer, model.Refusal], may_have_run: bool
) -> Result[model.Answer, model.Refusal]:
    """Widen the verdict of a refusal if an earlier attempt may have run."""
    if may_have_run and result.is_error():
        result.error.verdict = model.Verdict.MAY_HAVE_RUN
    return result
