"""Sends routed calls to upstreams and retries them within limits."""

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

# Maximum number of nodes that one call is sent to. Each node that refuses it
# costs a round trip; more of them would delay a refusal after which the client
# could retry later.
MAX_ATTEMPTED_NODES = 4

# Rules of refusals after which the call has reached no upstream. The next
# attempt after these is no repeat, since the call cost no upstream work.
UNREACHED_RULES = frozenset(
    (
        model.Rule.CALL_LOST,
        model.Rule.CONNECTION_REFUSED,
        model.Rule.EARLY_REFUSAL,
        model.Rule.LEAVING,
        model.Rule.LEVEL,
        model.Rule.NO_UPSTREAM,
        model.Rule.QUEUE_DELAY,
        model.Rule.QUEUE_FULL,
        model.Rule.RETRY_BUDGET,
    )
)

# Rules that count as a failure of an upstream or of the path to it. A call
# that was not admitted, or not answered in time, indicates only load.
FAILURE_RULES = frozenset(
    (
        model.Rule.CONNECTION_LOST,
        model.Rule.CONNECTION_REFUSED,
        model.Rule.UPSTREAM_CUT,
        model.Rule.UPSTREAM_REFUSED,
    )
)

# Lowest HTTP status that counts as a failure of the upstream.
MIN_SERVER_ERROR_STATUS = 500

# Rules that end the attempts: no time is left for another node either.
NON_RETRYABLE_RULES = (model.Rule.DEADLINE, model.Rule.UPSTREAM_TIMEOUT)


class RoutedDispatcher:
    """Owns the attempts of the calls that originate at this node.

    Attributes:
        identity: Identity of this node.
        members: Known nodes and upstreams.
        policy: Policy in force.
        runner: Runs calls on the local upstream; used by the chooser.
        pool: Connections to other nodes.
        chooser: Chooses the upstream of each attempt by load.
        record: Counts and logs a decision.
        run_local: Runs a call on the local upstream.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        members: decisions.MemberTable,
        runner: runner.Runner,
        pool: peer_pool.PeerPool,
        record: dispatcher.RecordFunction,
        run_local: peer_handlers.RunFunction,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.members = members
        self.policy = decisions.PolicyTable()
        self.runner = runner
        self.pool = pool
        self.record = record
        self.run_local = run_local
        self.chooser = upstream_chooser.UpstreamChooser(
            identity=identity,
            members=members,
            policy=self.policy,
            runner=runner,
            rng=rng,
            shed_nested=False,
            pick=decisions.choose_balanced,
            is_node_unreachable=pool.is_unreachable,
            is_node_overdue=pool.is_overdue,
        )

    async def dispatch(
        self, call: model.Call, content: bytes, *, max_attempts: int
    ) -> Result[model.Answer, model.Refusal]:
        """Send a call to an upstream, and retry it on others if allowed.

        Args:
            call: The call.
            content: The complete request body.
            max_attempts: Maximum number of upstreams that the call may
                reach.

        Returns:
            The answer, or a refusal whose verdict covers all attempts.
        """
        tried: set[str] = set()
        resent: set[str] = set()
        reached = 0
        may_have_run = False
        result: Result[model.Answer, model.Refusal] | None = None
        while len(tried) < MAX_ATTEMPTED_NODES:
            member = self.chooser.choose(call, tried)
            if member is None or member.instance in tried:
                break
            if result is not None:
                if time.monotonic() >= call.deadline:
                    break
                self.record(
                    call, model.Rule.RETRIED, model.Verdict.NOT_RUN, ''
                )
            if reached:
                call.repeat = model.RepeatKind.REPEAT
            tried.add(member.instance)
            result = await self.attempt(member, call, content)
            self.record_outcome(member.instance, result)
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
            if (
                refusal.rule is model.Rule.CALL_LOST
                and member.instance not in resent
            ):
                # The node responds on another connection.
                resent.add(member.instance)
                tried.discard(member.instance)
            if refusal.rule not in UNREACHED_RULES:
                reached += 1
            if reached >= max_attempts or refusal.rule in NON_RETRYABLE_RULES:
                break
        if result is None:
            result = Error(self.refuse_early(call))
        return dispatcher.include_earlier_attempts(result, may_have_run)

    async def attempt(
        self, member: model.Member, call: model.Call, content: bytes
    ) -> Result[model.Answer, model.Refusal]:
        """Send a call once, to the given node."""
        load = self.chooser.loads.find(member)
        load.outstanding += 1
        try:
            if member.instance == self.identity.instance:
                return await self.run_local(call, content, None)
            connection = self.pool.find(member.instance)
            if connection is None:
                connection = await self.pool.connect(member)
            first, rest = buffered_body.split_body(content)
            call.notice = load.notice
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

    def record_outcome(
        self,
        instance: str,
        result: Result[model.Answer, model.Refusal],
    ) -> None:
        """Record what an answer or a refusal reveals about an instance."""
        now = time.monotonic()
        load = self.chooser.loads.loads[instance]
        if result.is_ok():
            outcome = result.ok
            self.chooser.suspicions.note_answer(instance)
            load.failures.record(
                outcome.status >= MIN_SERVER_ERROR_STATUS, now
            )
        else:
            outcome = result.error
            self.chooser.suspicions.note_failure(instance, outcome, now)
            if outcome.rule in FAILURE_RULES:
                load.failures.record(True, now)
        self.chooser.loads.apply_reports(instance, outcome.reports, now)

    def refuse_early(self, call: model.Call) -> model.Refusal:
        """Build the refusal of a call that no upstream would admit."""
        admitting = [
            member
            for member in self.members.list_service(call.service)
            if member.state in decisions.ADMITTING_STATES
        ]
        if admitting and all(map(self.pool.is_unreachable, admitting)):
            return model.build_refusal(
                call,
                model.Verdict.NOT_RUN,
                model.Rule.NO_UPSTREAM,
                'none of %d upstreams of %s can be reached'
                % (len(admitting), call.service),
            )
        return early_refusal.build_early_refusal(
            call,
            self.members,
            self.policy,
            self.chooser.find_service_levels(call.service, call.route)[0],
        )
