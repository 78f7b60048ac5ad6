"""The upstream on the same instance as a sidecar node."""

import functools
import time

from expression import Result

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.node import sidecar_recorder
from oleanderknot.node import upstream_log
from oleanderknot.node import upstream_notices
from oleanderknot.tasks import admission
from oleanderknot.tasks import body_budget
from oleanderknot.tasks import body_lease
from oleanderknot.tasks import buffered_body
from oleanderknot.tasks import call_refusal
from oleanderknot.tasks import departure_store
from oleanderknot.tasks import detached_runner
from oleanderknot.tasks import http_dialect
from oleanderknot.tasks import leaving_reasons
from oleanderknot.tasks import membership
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
    """Tracks the local upstream by its heartbeats and runs calls at it.

    Attributes:
        body_budget: Bounds the memory of request bodies.
        runner: Runs calls at the upstream.
        heartbeat_filter: Separates new heartbeats from late and foreign ones.
        leaving: Reasons for which the upstream takes no new work.
        repeat_budget: Budget of the repeats that reach the upstream.
        chains: Accounts of the requests that run at the upstream.
        upstream: Id of the upstream process that calls are sent to.
        rate_limit: Rate of calls that the upstream takes.
        notices: What the upstream has said in its answers.
        recorder: Records the outcome of each call.
        members: Known nodes; the upstreams of a service share its budget.
        membership: Publishes the record of this node; set at its start.
        departures: Keeps the latest departure beyond the end of this process;
            set at the start of the node.
    """

    membership: membership.Membership
    departures: departure_store.DepartureStore

    def __init__(
        self,
        *,
        settings: border.SidecarSettings,
        body_budget: body_budget.BodyBudget,
        chains: decisions.ChainTable,
        members: decisions.MemberTable,
        recorder: sidecar_recorder.SidecarRecorder,
        dialect: http_dialect.HttpDialect,
    ) -> None:
        host, _, port = settings.upstream.address.rpartition(':')
        self.body_budget = body_budget
        self.recorder = recorder
        self.members = members
        self.chains = chains
        self.upstream = ''
        self.heartbeat_filter = decisions.HeartbeatFilter(
            service=settings.upstream.service,
            host=host,
            port=int(port),
            heartbeat_interval_s=settings.upstream.heartbeat_interval,
        )
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
                upstream=self.upstream,
                dialect=dialect,
                authorize_send=self.authorize_send,
                check_start=self.runner.check_start,
                record_latency=recorder.upstreams.observe,
                on_answer=functools.partial(
                    self.notices.note_answer, self.upstream
                ),
            ),
        )
        self.runner.leaf_bonus = LEAF_BONUS_CLASSES
        self.runner.orders = detached_runner.DetachedRunner(
            run_call=self.runner.admit
        )
        self.leaving = leaving_reasons.LeavingReasons(
            on_change=self.change_leaving
        )
        self.notices = upstream_notices.UpstreamNotices(
            rate_limit=self.rate_limit, leaving=self.leaving
        )
        self.runner.find_notice = self.notices.build_notice

    async def run_call(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> Result[model.Answer, model.Refusal]:
        """Run a call of another node after receiving its entire body."""
        self.notices.adopt(call.notice)
        lease = body_lease.BodyLease(budget=self.body_budget)
        try:
            lease.extend(len(content))
            content = await buffered_body.join_body(
                content, body, lease.extend
            )
            result = await self.run(call, content, None)
        except body_lease.NoMemoryError as error:
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
        if result.is_ok():
            answer = result.ok
            answer.content, answer.body = buffered_body.split_body(
                answer.content
            )
        return result

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
        taken = self.repeat_budget.take(now, self.count_upstreams())
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

    async def handle_heartbeat(self, report: model.UpstreamHeartbeat) -> bool:
        """Handle a heartbeat, which may be late or of another upstream.

        Returns:
            Whether it may be acknowledged.
        """
        await self.departures.wait_until_tried()
        before = self.heartbeat_filter.current
        outcome = self.heartbeat_filter.accept(report, time.monotonic())
        if outcome is decisions.HeartbeatOutcome.ACCEPTED:
            if before is not None and before.started_ms != report.started_ms:
                upstream_log.log_heartbeat('upstream_restarted', report)
            await self.apply_heartbeat(report)
        else:
            upstream_log.log_heartbeat('heartbeat_' + outcome.value, report)
        return outcome is not decisions.HeartbeatOutcome.UNCONFIRMED

    async def apply_heartbeat(self, report: model.UpstreamHeartbeat) -> None:
        """Apply a new heartbeat of the local upstream."""
        self.notices.note_heartbeat(report)
        own_member = self.membership.own
        if (
            report.upstream != self.upstream
            or report.slots != own_member.slots
        ):
            self.upstream = report.upstream
            await self.runner.set_upstream(
                service=report.service,
                host=report.host,
                port=report.port,
                slots=report.slots,
                warm=True,
            )
            upstream_log.log_heartbeat('upstream_joined', report)
            self.membership.update_own_record(
                service=report.service,
                slots=report.slots,
                state=leaving_reasons.find_state(
                    self.runner.leaving, report.service
                ),
            )
        reason = leaving_reasons.LeavingReason.UPSTREAM
        is_change = report.draining != self.leaving.holds(reason)
        self.leaving.set(reason, report.draining)
        self.notices.update_leaving('heartbeat')
        if is_change:
            upstream_log.log_heartbeat(
                'upstream_draining' if report.draining else 'upstream_back',
                report,
            )
        if is_change and report.draining:
            await self.publish_departure(
                model.Departure(
                    upstream=report.upstream,
                    started_ms=report.started_ms,
                    sequence=report.sequence,
                )
            )

    async def handle_deregistration(
        self, upstream: str, started_ms: int
    ) -> bool:
        """Refuse new work if it is the current upstream that deregisters.

        Args:
            upstream: Id of the upstream.
            started_ms: Unix time in milliseconds of its start; 0 when
                unknown.

        Returns:
            Whether the deregistration may be acknowledged.
        """
        outcome = self.heartbeat_filter.deregister(
            upstream, started_ms, time.monotonic()
        )
        if outcome is decisions.HeartbeatOutcome.ACCEPTED:
            current = self.heartbeat_filter.current
            self.leaving.set(leaving_reasons.LeavingReason.UPSTREAM, True)
            upstream_log.log_heartbeat('upstream_gone', current)
            started_ms = started_ms or current.started_ms
        departure = model.Departure(upstream=upstream, started_ms=started_ms)
        if outcome is decisions.HeartbeatOutcome.UNCONFIRMED:
            upstream_log.log_departure(
                'departure_unconfirmed',
                '%s may be an earlier start that deregisters' % upstream,
                departure,
            )
            return False
        upstream_log.log_departure(
            'departure_noted',
            'recorded the deregistration of %s' % upstream,
            departure,
        )
        # One upstream has this address, so another one than the current left
        # earlier, and its departure must not replace that of the current one.
        if (
            outcome is decisions.HeartbeatOutcome.ACCEPTED
            or self.heartbeat_filter.current is None
        ):
            await self.publish_departure(departure)
        return True

    async def publish_departure(self, departure: model.Departure) -> None:
        """Make a departure known beyond the end of this process."""
        if departure != self.membership.own.departure:
            self.membership.update_own_record(departure=departure)
        await self.departures.save(departure)

    def adopt_departure(self, departure: model.Departure) -> None:
        """Adopt a departure that an earlier process has acknowledged."""
        if not self.heartbeat_filter.is_news(departure):
            return
        current_left = self.heartbeat_filter.adopt(departure)
        upstream_log.log_departure(
            'departure_adopted',
            'an earlier process of this node acknowledged the departure of %s'
            % departure.upstream,
            departure,
            current=current_left,
        )
        if current_left:
            self.leaving.set(leaving_reasons.LeavingReason.UPSTREAM, True)
        self.departures.keep(departure)
        if self.membership.own.departure is None:
            self.membership.update_own_record(departure=departure)

    def change_leaving(self) -> None:
        """Accept or refuse new work, and publish the state to other nodes."""
        is_leaving = bool(self.leaving.reasons)
        if is_leaving != self.runner.leaving:
            self.membership.update_own_record(
                state=leaving_reasons.find_state(
                    is_leaving, self.runner.service
                )
            )
        self.runner.set_leaving(is_leaving, self.leaving.is_upstream_leaving())


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
