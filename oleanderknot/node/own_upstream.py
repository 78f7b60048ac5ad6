"""The upstream on the same instance as a node of a platform."""

import time

from expression import Result

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.node import sidecar_recorder
from oleanderknot.tasks import admission
from oleanderknot.tasks import buffered_body
from oleanderknot.tasks import detached_runner
from oleanderknot.tasks import heartbeat_ingress
from oleanderknot.tasks import http_dialect
from oleanderknot.tasks import leaving_reasons
from oleanderknot.tasks import membership
from oleanderknot.tasks import runner as runners
from oleanderknot.tasks import upstream_pool

# One class: enough to go before trees of the same rank, not before those of
# the next one.
LEAF_BONUS = 1.0

# Share of its slots that an upstream is given calls for. Some upstreams slow
# down when they are nearly full: the deep service of both deployments takes
# 1.3 times as long beyond 0.95 of its slots.
USABLE_SHARE = 0.94

# Inner calls wait no longer than requests of clients. A request of a platform
# makes up to eight calls one after the other within 1.2 to 1.5 s, and long
# waits in several of them cost more requests than refusals do.
INNER_PATIENCE = 1.0


class OwnUpstream:
    """Follows the upstream of this node and runs calls at it.

    Attributes:
        runner: Runs calls at the upstream.
        order: Tells new heartbeats from late and foreign ones.
        leaving: Whether the upstream takes new work.
        repeats: Repeats of calls that the upstream turned away.
        upstream: Id of the start of the upstream that calls go to.
        recorder: Takes what became of each call.
        members: Nodes that share the bound on repeats.
        membership: The own record; set when the node starts.
    """

    membership: membership.Membership

    def __init__(
        self,
        *,
        settings: border.SidecarSettings,
        chains: decisions.ChainTable,
        members: decisions.MemberTable,
        recorder: sidecar_recorder.SidecarRecorder,
        dialect: http_dialect.HttpDialect,
    ) -> None:
        host, _, port = settings.upstream.address.rpartition(':')
        self.recorder = recorder
        self.members = members
        self.upstream = ''
        self.order = decisions.HeartbeatFilter(
            service=settings.upstream.service, host=host, port=int(port)
        )
        self.repeats = decisions.RepeatBudget(
            ratio=settings.retries.ratio,
            slack=settings.retries.slack,
            share=decisions.GATEWAY_SHARE,
            window_s=settings.retries.window,
        )
        self.runner = runners.Runner(
            chains=chains,
            build_admission=lambda slots, warm=False: build_admission(
                slots, warm, recorder.queues.observe
            ),
            build_client=lambda host, port, slots: upstream_pool.UpstreamPool(
                host=host,
                port=port,
                upstream=self.upstream,
                dialect=dialect,
                may_repeat=self.may_repeat,
                measure=recorder.upstreams.observe,
            ),
        )
        self.runner.leaf_bonus = LEAF_BONUS
        self.runner.orders = detached_runner.DetachedRunner(
            run_call=self.runner.admit
        )
        self.leaving = leaving_reasons.LeavingReasons(
            on_change=self.change_leaving
        )

    async def run_call(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> Result[model.Answer, model.Refusal]:
        """Run a call of another node once its body is whole."""
        if body is not None:
            content = await buffered_body.join_body(content, body)
        result = await self.run(call, content, None)
        if result.is_ok():
            answer = result.ok
            answer.content, answer.body = buffered_body.split_body(
                answer.content
            )
        return result

    async def run(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> Result[model.Answer, model.Refusal]:
        """Run a call at the own upstream and record what became of it."""
        started = time.monotonic()
        self.repeats.count_request(call.service, started)
        result = await self.runner.run(call, content, body)
        refusal = result.error if result.is_error() else None
        self.recorder.record_run(
            call,
            refusal,
            time.monotonic() - started,
            self.runner.admission.describe() if refusal else {},
        )
        return result

    def may_repeat(self, call: model.Call) -> bool:
        """Take one repeat of a call that the own upstream turned away."""
        nodes = len(self.members.members)
        taken = self.repeats.take(call.service, time.monotonic(), nodes)
        if taken:
            self.recorder.count('upstream.repeated')
        else:
            self.recorder.count('upstream.budget_spent')
        return taken

    async def take_heartbeat(self, report: model.UpstreamHeartbeat) -> None:
        """Take a new heartbeat of the own upstream."""
        own = self.membership.own
        if report.upstream != self.upstream or report.slots != own.slots:
            self.upstream = report.upstream
            await self.runner.set_upstream(
                service=report.service,
                host=report.host,
                port=report.port,
                slots=report.slots,
                warm=True,
            )
            heartbeat_ingress.log_upstream('upstream_joined', report)
            self.membership.change_own(
                service=report.service,
                slots=report.slots,
                state=leaving_reasons.find_state(
                    self.runner.leaving, report.service
                ),
            )
        if report.draining != self.leaving.holds(
            leaving_reasons.LeavingReason.UPSTREAM
        ):
            heartbeat_ingress.log_upstream(
                'upstream_draining' if report.draining else 'upstream_back',
                report,
            )
        self.leaving.set(
            leaving_reasons.LeavingReason.UPSTREAM, report.draining
        )

    def end(self) -> None:
        """Send no new work to an upstream that has left."""
        self.leaving.set(leaving_reasons.LeavingReason.UPSTREAM, True)

    def change_leaving(self, leaves: bool) -> None:
        """Take new work or none, and tell the other nodes at once."""
        self.runner.leaving = leaves
        self.membership.change_own(
            state=leaving_reasons.find_state(leaves, self.runner.service)
        )


def build_admission(
    slots: int,
    warm: bool = False,
    measure_wait: admission.MeasureFunction = admission.ignore_duration,
) -> admission.Admission:
    """Build the admission of an upstream whose only sender is this node."""
    return admission.Admission(
        slots=max(1, int(slots * USABLE_SHARE)),
        warm=warm,
        shed_nested=False,
        sole_sender=True,
        nested_wait_factor=INNER_PATIENCE,
        measure_wait=measure_wait,
    )
