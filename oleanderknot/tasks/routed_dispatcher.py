"""Sends the calls of routes to upstreams and repeats them within bounds."""

import random
import time

from expression import Error
from expression import Result

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import buffered_body
from oleanderknot.tasks import dispatcher
from oleanderknot.tasks import early_refusal
from oleanderknot.tasks import peer_handlers
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import runner
from oleanderknot.tasks import upstream_chooser

# Nodes that one call is offered to. A node that turns a call away costs one
# round trip; more of them would hold a refusal that the client could use to
# come back later.
MAX_OFFERS = 4

# Failures after which the call has reached no upstream. They need no budget,
# since no upstream has spent anything on the call.
UNREACHED = frozenset(
    (
        model.Rule.CONNECTION_REFUSED,
        model.Rule.EARLY_REFUSAL,
        model.Rule.LEAVING,
        model.Rule.LEVEL,
        model.Rule.NO_UPSTREAM,
        model.Rule.QUEUE_DELAY,
        model.Rule.QUEUE_FULL,
    )
)

# Failures that speak against an upstream or the way to it. A call that was
# not admitted, or not answered in time, speaks only of its load.
FAILURE_RULES = frozenset(
    (
        model.Rule.CONNECTION_LOST,
        model.Rule.CONNECTION_REFUSED,
        model.Rule.UPSTREAM_CUT,
        model.Rule.UPSTREAM_REFUSED,
    )
)

# Lowest status by which an upstream says that it failed.
SERVER_ERROR = 500

# Another node has no more time than this one.
FINAL_RULES = (model.Rule.DEADLINE, model.Rule.UPSTREAM_TIMEOUT)


class RoutedDispatcher:
    """Owns the attempts of the calls that start at this node.

    Attributes:
        identity: Identity of this node.
        members: Nodes and upstreams that are known.
        runner: Runs calls at the own upstream.
        pool: Connections to other nodes.
        chooser: Knows the load of other upstreams.
        repeats: Bound on what reaches upstreams more than once.
        record: Counts and logs a decision.
        run: Runs a call at the own upstream.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        members: decisions.MemberTable,
        runner: runner.Runner,
        pool: peer_pool.PeerPool,
        repeats: decisions.RepeatBudget,
        record: dispatcher.RecordFunction,
        run: peer_handlers.RunFunction,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.members = members
        self.policy = decisions.PolicyTable()
        self.runner = runner
        self.pool = pool
        self.repeats = repeats
        self.record = record
        self.run = run
        self.chooser = upstream_chooser.UpstreamChooser(
            identity=identity,
            members=members,
            policy=self.policy,
            runner=runner,
            rng=rng,
            shed_inner=False,
            pick=decisions.choose_balanced,
            is_lost=pool.is_lost,
        )

    async def dispatch(
        self, call: model.Call, content: bytes, *, max_attempts: int
    ) -> Result[model.Answer, model.Refusal]:
        """Send a call to an upstream, and to others if that is allowed.

        Args:
            call: The call.
            content: The whole request body.
            max_attempts: Most upstreams that the call may reach.

        Returns:
            The answer, or a refusal whose verdict covers all attempts.
        """
        tried: set[str] = set()
        reached = 0
        may_have_run = False
        result: Result[model.Answer, model.Refusal] | None = None
        self.repeats.count_request(call.service, time.monotonic())
        while len(tried) < MAX_OFFERS:
            member = self.chooser.choose(call, tried)
            if member is None or member.instance in tried:
                break
            if result is not None and not self.may_repeat(call, reached):
                break
            tried.add(member.instance)
            result = await self.attempt(member, call, content)
            self.take_reports(member.instance, result)
            if result.is_ok():
                return result
            refusal = result.error
            call.failed_attempts.append(
                '%s %s' % (member.instance, refusal.rule.value)
            )
            if refusal.verdict is not model.Verdict.NOT_RUN:
                may_have_run = True
                if not call.idempotent:
                    break
            if refusal.rule not in UNREACHED:
                reached += 1
            if reached >= max_attempts or refusal.rule in FINAL_RULES:
                break
        if result is None:
            result = Error(self.refuse_early(call))
        return dispatcher.count_earlier(result, may_have_run)

    def may_repeat(self, call: model.Call, reached: int) -> bool:
        """Return whether a call may be sent once more, and record it."""
        now = time.monotonic()
        if now >= call.deadline:
            return False
        nodes = len(self.members.members)
        if reached and not self.repeats.take(call.service, now, nodes):
            self.record(
                call,
                model.Rule.RETRY_BUDGET,
                model.Verdict.MAY_HAVE_RUN,
                'the budget of repeats for %s is spent' % call.service,
            )
            return False
        self.record(call, model.Rule.RETRIED, model.Verdict.NOT_RUN, '')
        return True

    async def attempt(
        self, member: model.Member, call: model.Call, content: bytes
    ) -> Result[model.Answer, model.Refusal]:
        """Send a call once, to one node."""
        load = self.chooser.loads.find(member)
        load.outstanding += 1
        try:
            if member.instance == self.identity.instance:
                return await self.run(call, content, None)
            connection = self.pool.find(member.instance)
            if connection is None:
                connection = await self.pool.connect(member)
            first, rest = buffered_body.split_body(content)
            result = await connection.open(call, first, rest)
            if result.is_ok() and result.ok.body is not None:
                result.ok.content = await buffered_body.join_body(
                    result.ok.content, result.ok.body
                )
                result.ok.body = None
            return result
        except ConnectionError as error:
            return Error(
                model.build_refusal(
                    call,
                    model.Verdict.NOT_RUN,
                    model.Rule.CONNECTION_REFUSED,
                    str(error),
                )
            )
        except model.IncompleteBodyError as error:
            return Error(
                model.build_refusal(
                    call, model.Verdict.MAY_HAVE_RUN, error.rule, str(error)
                )
            )
        finally:
            load.outstanding -= 1

    def take_reports(
        self,
        instance: str,
        result: Result[model.Answer, model.Refusal],
    ) -> None:
        """Keep what an answer or a refusal says about an instance."""
        now = time.monotonic()
        load = self.chooser.loads.loads[instance]
        if result.is_ok():
            outcome = result.ok
            self.chooser.suspicions.note_answer(instance)
            load.failures.record(outcome.status >= SERVER_ERROR, now)
        else:
            outcome = result.error
            self.chooser.suspicions.note_failure(instance, outcome, now)
            if outcome.rule in FAILURE_RULES:
                load.failures.record(True, now)
        self.chooser.loads.apply_reports(instance, outcome.reports, now)

    def refuse_early(self, call: model.Call) -> model.Refusal:
        """Refuse a call that no upstream would admit."""
        taking = [
            member
            for member in self.members.list_service(call.service)
            if member.state in decisions.ADMITTING_STATES
        ]
        if taking and all(map(self.pool.is_lost, taking)):
            return model.build_refusal(
                call,
                model.Verdict.NOT_RUN,
                model.Rule.NO_UPSTREAM,
                'none of %d upstreams of %s can be reached'
                % (len(taking), call.service),
            )
        return early_refusal.build_early_refusal(
            call,
            self.members,
            self.policy,
            self.chooser.find_service_levels(call.service, call.route)[0],
        )
