"""Runs calls at the upstream on the same instance as a sidecar node."""

import functools
import time

from expression import Result

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.node import sidecar_recorder
from oleanderknot.node import upstream_heartbeats
from oleanderknot.tasks import admission
from oleanderknot.tasks import buffered_body
from oleanderknot.tasks import call_refusal
from oleanderknot.tasks import detached_runner
from oleanderknot.tasks import held_join
from oleanderknot.tasks import http_dialect
from oleanderknot.tasks import leased_body
from oleanderknot.tasks import runner as runners
from oleanderknot.tasks import upstream_pool

# Priority bonus, in request classes, of requests that need no other service.
# One class puts them before requests of the same class that call further
# services, but not before those of the next class.
LEAF_BONUS_CLASSES = 1.0

# Fraction of the slots of an upstream that may be in use. Some upstreams slow
# down when nearly full: the deep service of both deployments takes 1.3
# times as long when more than 0.95 of its slots are in use.
USABLE_SLOT_FRACTION = 0.94

# Maximum queue wait of nested calls relative to client requests. A request on
# the platform makes up to eight sequential calls within 1.2 to 1.5 s, and long
# waits in several of them fail more requests than refusals do.
NESTED_WAIT_FACTOR = 1.0


class LocalUpstream:
    """Runs calls at the local upstream within its limits and budgets.

    Attributes:
        memory: Memory of the node; counts bodies of calls.
        sent_bodies: Responses that are being sent to other nodes.
        runner: Runs calls at the upstream.
        heartbeats: Tracks the upstream by its heartbeats.
        repeat_budget: Budget of the repeats that reach the upstream.
        chains: Accounts of the requests that run at the upstream.
        rate_limit: Rate of calls that the upstream takes.
        recorder: Records the outcome of each call.
        members: Known nodes; the upstreams of a service share its budget.
    """

    def __init__(
        self,
        *,
        settings: border.SidecarSettings,
        memory: decisions.NodeMemory,
        chains: decisions.ChainTable,
        members: decisions.MemberTable,
        recorder: sidecar_recorder.SidecarRecorder,
        dialect: http_dialect.HttpDialect,
    ) -> None:
        self.memory = memory
        self.sent_bodies: set[leased_body.LeasedBody] = set()
        self.recorder = recorder
        self.members = members
        self.chains = chains
        self.repeat_budget = decisions.RepeatBudget(
            ratio=settings.retries.ratio,
            slack=settings.retries.slack,
            window_s=settings.retries.window,
            started_at=time.monotonic(),
        )
        self.rate_limit = decisions.RateLimit()
        self.runner = runners.Runner(
            chains=chains,
            build_admission=lambda slots, warm=False: build_admission(
                slots, warm, recorder.queues.observe, self.rate_limit
            ),
            build_client=lambda host, port, slots: upstream_pool.UpstreamPool(
                host=host,
                port=port,
                upstream=self.heartbeats.upstream,
                dialect=dialect,
                authorize_send=self.authorize_send,
                check_start=self.runner.check_start,
                record_latency=recorder.upstreams.observe,
                on_answer=functools.partial(
                    self.heartbeats.notices.note_answer,
                    self.heartbeats.upstream,
                ),
                memory=memory,
            ),
        )
        self.runner.shares.count = recorder.count
        self.runner.leaf_bonus = LEAF_BONUS_CLASSES
        self.runner.orders = detached_runner.DetachedRunner(
            run_call=self.runner.admit
        )
        self.heartbeats = upstream_heartbeats.UpstreamHeartbeats(
            settings=settings,
            runner=self.runner,
            rate_limit=self.rate_limit,
        )
        self.runner.find_notice = self.heartbeats.notices.build_notice

    async def run_call(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> Result[model.Answer, model.Refusal]:
        """Run a call of another node after receiving its entire body."""
        self.heartbeats.notices.adopt(call.notice)
        if content or body is not None:
            result = await self.run_with_body(call, content, body)
        else:
            result = await self.run(call, content, None)
        if result.is_ok():
            answer = result.ok
            answer.content, rest = buffered_body.split_body(answer.content)
            if rest is not None and not self.hold_rest(answer, rest):
                return call_refusal.refuse(
                    call,
                    model.Verdict.MAY_HAVE_RUN,
                    model.Rule.UPSTREAM_CUT,
                    'the node has no memory for the answer',
                )
        return result

    async def run_with_body(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> Result[model.Answer, model.Refusal]:
        """Receive the rest of a body and run the call; see ``run_call``."""
        lease = self.memory.lease(decisions.HolderKind.RUNNING)
        try:
            content = await held_join.join_held(lease, content, body)
            return await self.run(call, content, None)
        except held_join.NoMemoryError as error:
            return call_refusal.refuse(
                call,
                model.Verdict.NOT_RUN,
                model.Rule.QUEUE_FULL,
                str(error),
            )
        except model.IncompleteBodyError as error:
            return call_refusal.refuse(
                call, model.Verdict.NOT_RUN, error.rule, str(error)
            )
        finally:
            lease.end()

    def hold_rest(
        self, answer: model.Answer, rest: buffered_body.BufferedBody
    ) -> bool:
        """Hold the rest of an answer while it is sent to another node.

        Returns:
            Whether there is memory for it.
        """
        body = leased_body.LeasedBody(
            body=rest,
            memory=self.memory,
            now=time.monotonic(),
            on_end=self.sent_bodies.discard,
        )
        if not body.hold():
            return False
        self.sent_bodies.add(body)
        answer.body = body
        return True

    def observe_bodies(self) -> None:
        """Measure how fast other nodes take the responses; runs regularly."""
        now = time.monotonic()
        for body in self.sent_bodies:
            body.observe(now)

    async def run(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> Result[model.Answer, model.Refusal]:
        """Run a call at the local upstream and record its outcome."""
        started = time.monotonic()
        result = await self.runner.run(call, content, body)
        refusal = result.error if result.is_error() else None
        self.recorder.record_run(
            call,
            refusal,
            time.monotonic() - started,
            self.runner.admission.describe() if refusal else {},
        )
        return result

    def authorize_send(self, call: model.Call, resend: bool) -> bool:
        """Count a send to the upstream, and return whether it is allowed.

        Args:
            call: The call.
            resend: Whether the upstream has refused this call before.
        """
        now = time.monotonic()
        if resend and self.rate_limit.find_wait_s(now):
            return False
        if not resend and call.repeat is model.RepeatKind.FIRST:
            self.repeat_budget.count_first(now)
            return True
        if not resend and call.repeat is model.RepeatKind.NESTED:
            self.repeat_budget.count_nested(now)
            return True
        taken = self.repeat_budget.take(
            now, self.count_upstreams(), decisions.rank_call(call)
        )
        if taken and resend:
            # The first send was counted when the call was admitted.
            self.rate_limit.take(now)
        account = self.chains.find(call.trace_id)
        if taken and account is not None:
            account.repeated = True
        self.recorder.count(
            'upstream.repeated' if taken else 'upstream.budget_spent'
        )
        return taken

    def count_upstreams(self) -> int:
        """Return the number of known upstreams of the service."""
        return len(self.members.list_service(self.runner.service))


def build_admission(
    slots: int,
    warm: bool = False,
    measure_wait: admission.MeasureFunction = admission.ignore_duration,
    rate_limit: decisions.RateLimit | None = None,
) -> admission.Admission:
    """Build admission control for an upstream that only this node calls."""
    return admission.Admission(
        slots=max(1, int(slots * USABLE_SLOT_FRACTION)),
        warm=warm,
        shed_nested=False,
        sole_sender=True,
        nested_wait_factor=NESTED_WAIT_FACTOR,
        measure_wait=measure_wait,
        rate_limit=rate_limit,
    )
