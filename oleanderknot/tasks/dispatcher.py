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

# Pause before a retry: full jitter below this, so that retries of many calls
# do not arrive together.
RETRY_PAUSE_S = 0.02

# Every node computes the same priority number, so another node would refuse
# the call as well; a deadline that cannot be met is not met by waiting.
FINAL_RULES = (
    model.Rule.LEVEL,
    model.Rule.EARLY_REFUSAL,
    model.Rule.DEADLINE,
)

# Takes call, rule, verdict and one sentence of detail.
RecordFunction = collections.abc.Callable[
    [model.Call, model.Rule, model.Verdict, str], None
]


class Dispatcher:
    """Owns the attempts of calls and the retries of this node.

    Attributes:
        identity: Identity of this node.
        members: Nodes and upstreams that are known.
        policy: Policy in force.
        runner: Runs calls at the own upstream.
        pool: Connections to other nodes.
        record: Counts and logs a decision.
        begin: Told each call that enters the system here.
        chooser: Knows the load of other upstreams.
        budget: Retries of this node as a share of its successes.
        rng: Source of randomness.
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
        begin: collections.abc.Callable[[model.Call], None],
        rng: random.Random | None = None,
    ) -> None:
        self.identity = identity
        self.members = members
        self.policy = policy
        self.runner = runner
        self.pool = pool
        self.record = record
        self.begin = begin
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
            account: Account that retries are taken from.
            content: First bytes of the request body.
            body: Rest of the request body, if it arrives in parts.

        Returns:
            The answer, or the refusal of the last attempt.
        """
        if not call.idempotent:
            return await self.orders.dispatch(call, account, content, body)
        tried: set[str] = set()
        heard_since = 0.0
        may_have_run = False
        while True:
            member = self.choose(call, tried)
            if member is None:
                result = Error(self.refuse_early(call))
                return count_earlier(result, may_have_run)
            if tried:
                self.count_retry(call)
            tried.add(member.instance)
            granted = account.grant()
            attempt = dataclasses.replace(call, allowance=granted)
            started = time.monotonic()
            result = await self.attempt(
                member, attempt, content, body, heard_since
            )
            now = time.monotonic()
            self.take_reports(member.instance, result, now)
            if result.is_ok():
                account.refund(result.ok.unspent, granted)
                if not self.is_shed(result.ok, call, body):
                    self.budget.count_base(now)
                    return result
            else:
                account.refund(result.error.unspent, granted)
                if result.error.rule is model.Rule.CONNECTION_LOST:
                    # The connection that a retry finds may have gone silent
                    # together with this one; a new one costs 1 ms.
                    heard_since = started
            result = count_earlier(result, may_have_run)
            if not self.may_retry(call, account, result, body, now):
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

    def take_reports(
        self,
        instance: str,
        result: Result[model.Answer, model.Refusal],
        now: float,
    ) -> None:
        """Keep what an answer or a refusal says about an instance."""
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
        heard_since: float,
    ) -> Result[model.Answer, model.Refusal]:
        """Send a call once, to one node."""
        load = self.find_load(member)
        load.outstanding += 1
        try:
            if member.instance == self.identity.instance:
                return await self.runner.run(call, content, body)
            connection = self.pool.find(member.instance, heard_since)
            if connection is None:
                connection = await self.pool.connect(member, heard_since)
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
        """Return whether an upstream shed a call that can be repeated."""
        return (
            answer.status in runner.OVERLOAD_STATUSES
            and call.idempotent
            and body is None
            and answer.body is None
        )

    def may_retry(
        self,
        call: model.Call,
        account: decisions.ChainAccount,
        result: Result[model.Answer, model.Refusal],
        body: model.Body | None,
        now: float,
    ) -> bool:
        """Return whether another attempt is allowed, and take it."""
        if body is not None or now + RETRY_PAUSE_S >= call.deadline:
            return False
        if result.is_error():
            if result.error.rule in FINAL_RULES:
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
        await asyncio.sleep(self.rng.random() * RETRY_PAUSE_S)

    def refuse_early(self, call: model.Call) -> model.Refusal:
        """Refuse a call that no upstream would admit."""
        return early_refusal.build_early_refusal(
            call,
            self.members,
            self.policy,
            self.chooser.find_service_levels(call.service, call.route)[0],
        )

    def count_retry(self, call: model.Call) -> None:
        """Record that a call is sent once more."""
        self.count_decision(call, model.Rule.RETRIED, model.Verdict.NOT_RUN)

    def count_decision(
        self,
        call: model.Call,
        rule: model.Rule,
        verdict: model.Verdict,
        detail: str = '',
    ) -> None:
        """Record a decision about a call."""
        self.record(call, rule, verdict, detail)


def count_earlier(
    result: Result[model.Answer, model.Refusal], may_have_run: bool
) -> Result[model.Answer, model.Refusal]:
    """Let the verdict of a refusal cover the earlier attempts, too."""
    if may_have_run and result.is_error():
        result.error.verdict = model.Verdict.MAY_HAVE_RUN
    return result
