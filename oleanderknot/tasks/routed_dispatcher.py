"""Sends routed calls to upstreams and retries them within limits."""

import collections.abc
import random
import time

from expression import Error
from expression import Result

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import attempt_rules
from oleanderknot.tasks import buffered_body
from oleanderknot.tasks import dispatcher
from oleanderknot.tasks import early_refusal
from oleanderknot.tasks import held_join
from oleanderknot.tasks import peer_handlers
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import runner
from oleanderknot.tasks import upstream_chooser

# Maximum number of nodes that one call is sent to. Each node that refuses it
# costs a round trip; more of them would delay a refusal after which the client
# could retry later.
MAX_ATTEMPTED_NODES = 4

CountFunction = collections.abc.Callable[[str], None]


def ignore_event(name: str) -> None:
    """Ignore an event; the default when no metric is recorded."""


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
        count: Counts an event by name.
        memory: Memory of the node; counts responses of other nodes.
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
        count: CountFunction = ignore_event,
        memory: decisions.NodeMemory | None = None,
    ) -> None:
        self.count = count
        self.memory = memory or decisions.NodeMemory()
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
            pick_listed=decisions.choose_listed,
            is_node_unreachable=pool.is_unreachable,
            is_node_overdue=pool.is_overdue,
            may_lack_nodes=pool.may_lack_nodes,
        )

    def find_rank(
        self,
        call: model.Call,
        earlier: decisions.RememberedRefusal | None,
    ) -> float | None:
        """Return the rank of a root request; None for that of its trace id.

        Args:
            call: The call of the request.
            earlier: Refusal after which its client has returned as told; None
                for a new client.
        """
        excess = self.runner.shares.find(call)
        if excess <= 1 and earlier is None:
            return None
        return decisions.assign_fraction(
            call.trace_id, excess=excess, earlier=earlier
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
            if refusal.rule not in attempt_rules.UNREACHED_RULES:
                reached += 1
            if (
                reached >= max_attempts
                or refusal.rule in attempt_rules.NON_RETRYABLE_RULES
            ):
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
        if member.data_centre != self.identity.data_centre:
            self.count('choice.remote')
        started = time.monotonic()
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
                await self.receive_rest(result.ok)
            if result.is_ok():
                self.chooser.loads.record_call_time(
                    member.instance, call, time.monotonic() - started
                )
            return result
        except held_join.NoMemoryError as error:
            return Error(
                model.build_refusal(
                    call,
                    model.Verdict.MAY_HAVE_RUN,
                    model.Rule.NO_MEMORY,
                    str(error),
                )
            )
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

    async def receive_rest(self, answer: model.Answer) -> None:
        """Receive the rest of the body of an answer of another node.

        Raises:
            IncompleteBodyError: The body ended before it was complete.
            NoMemoryError: The node has no memory for it.
        """
        lease = self.memory.lease(
            decisions.HolderKind.RESPONSE, answer.body.cancel
        )
        try:
            answer.content = await held_join.join_held(
                lease, answer.content, answer.body
            )
            answer.body = None
        finally:
            lease.end()

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
            load.record_outcome(
                outcome.status >= attempt_rules.MIN_SERVER_ERROR_STATUS, now
            )
        else:
            outcome = result.error
            self.chooser.suspicions.note_failure(instance, outcome, now)
            if outcome.rule in attempt_rules.FAILURE_RULES:
                load.record_outcome(True, now)
        self.chooser.loads.apply_reports(instance, outcome.reports, now)
        self.runner.shares.view.apply(outcome.reports, now)

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
