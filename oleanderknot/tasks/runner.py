"""Runs calls at the upstream of this node."""

import asyncio
import collections.abc
import time
import typing

from expression import Error
from expression import Result

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import admission
from oleanderknot.tasks import dependency_levels
from oleanderknot.tasks import notifying_body
from oleanderknot.tasks import permit as permits
from oleanderknot.tasks import share_reports

if typing.TYPE_CHECKING:
    from oleanderknot.tasks import order_runner
    from oleanderknot.tasks import upstream_client

# HTTP statuses with which an upstream sheds load.
OVERLOAD_STATUSES = (429, 503)

# Rules of refusals that indicate an overloaded upstream.
OVERLOAD_RULES = (model.Rule.UPSTREAM_REFUSED, model.Rule.UPSTREAM_TIMEOUT)


AdmissionFunction = collections.abc.Callable[..., admission.Admission]
ClientFunction = collections.abc.Callable[
    ..., 'upstream_client.UpstreamClient'
]
PolicyCheckFunction = collections.abc.Callable[
    [model.Call], model.Refusal | None
]
NoticeFunction = collections.abc.Callable[[], model.UpstreamNotice | None]


class Runner:
    """Owns the connection to the upstream and decides which calls it runs.

    Attributes:
        service: Service of the upstream; empty before it is announced.
        client: HTTP connections to the upstream.
        admission: Admission control of the upstream.
        chains: Accounts of the chains that the upstream runs.
        build_admission: Builds the admission for an upstream.
        build_client: Builds the connections to an upstream.
        shares: Shares of organisations here and at other upstreams.
        downstream_level: Admission levels of the services that the
            upstream calls.
        leaving: Whether the node accepts no new work.
        upstream_leaving: Whether the upstream leaves, so that calls which
            wait must not be sent to it either.
        running: Calls that this task works on, until their answer is whole.
        orders: Runs non-idempotent calls at most once.
        idle: Set while ``running`` is 0.
        refused_leaving: Calls refused because the upstream is leaving.
        leaf_bonus: How much more the level admits of requests of callers
            that need no other service. Such a request takes little of an
            upstream that others need for whole trees of calls, and its
            refusal is final at once, while trees are refused by levels that
            other nodes see late.
        check_policy: Returns why policy refuses a call, or None.
        find_notice: Returns what the upstream says about itself, or None.
    """

    def __init__(
        self,
        *,
        chains: decisions.ChainTable,
        build_client: ClientFunction,
        build_admission: AdmissionFunction = admission.Admission,
    ) -> None:
        self.chains = chains
        self.build_admission = build_admission
        self.build_client = build_client
        self.downstream_level = dependency_levels.DependencyLevels()
        self.shares = share_reports.ShareReports()
        self.service = ''
        self.client: 'upstream_client.UpstreamClient | None' = None
        self.admission = build_admission(slots=1)
        self.leaving = False
        self.upstream_leaving = False
        self.running = 0
        self.orders: 'order_runner.OrderRunner | None' = None
        self.idle = asyncio.Event()
        self.idle.set()
        self.refused_leaving = 0
        self.leaf_bonus = 0.0
        self.check_policy: PolicyCheckFunction = lambda call: None
        self.find_notice: NoticeFunction = lambda: None

    async def set_upstream(
        self,
        *,
        service: str,
        host: str,
        port: int,
        slots: int,
        warm: bool = False,
    ) -> None:
        """Set the upstream at which calls run.

        Args:
            service: Service that it offers.
            host: IP address of the upstream.
            port: TCP port of the upstream.
            slots: Calls that it can run at once.
            warm: Whether it needs no slow start.
        """
        old = self.client
        self.client = self.build_client(host=host, port=port, slots=slots)
        self.admission = self.build_admission(slots=slots, warm=warm)
        self.service = service
        if old is not None:
            await old.close()

    def run(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> collections.abc.Awaitable[Result[model.Answer, model.Refusal]]:
        """Run a call at the upstream.

        Args:
            call: The call.
            content: First bytes of the request body.
            body: Rest of the request body, if it arrives in parts.

        Returns:
            The answer, or a refusal that says whether the call may have run.
        """
        if not call.idempotent:
            return self.orders.run(call, content, body)
        return self.admit(call, content, body)

    async def admit(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> Result[model.Answer, model.Refusal]:
        """Run a call at the upstream if it may run now; see ``run``."""
        refusal = self.check(call) or (
            self.downstream_level.check(call)
            if self.admission.shed_nested or not call.depth
            else None
        )
        call_admission = self.admission
        if refusal is not None:
            return self.reject(call, refusal)
        bonus = self.find_leaf_bonus(call)
        self.shares.count_arrival(call, bonus)
        permit = await call_admission.acquire(call, bonus)
        if isinstance(permit, model.Refusal):
            self.shares.count_refusal(call, bonus)
            return self.reject(call, permit)
        refusal = self.check_start(call)
        if refusal is not None:
            call_admission.release(permit)
            return self.reject(call, refusal)
        return await self.execute(call, content, body, call_admission, permit)

    def reject(
        self, call: model.Call, refusal: model.Refusal
    ) -> Result[model.Answer, model.Refusal]:
        """Build the result of a call that was not sent."""
        refusal.unspent = call.allowance
        refusal.reports = (self.build_report(call),)
        return Error(refusal)

    def set_leaving(self, leaving: bool, upstream_leaving: bool) -> None:
        """Accept or refuse calls.

        Args:
            leaving: Whether new calls are refused.
            upstream_leaving: Whether calls that wait are refused as well.
        """
        self.leaving = leaving
        self.upstream_leaving = upstream_leaving
        if upstream_leaving:
            self.refused_leaving += self.admission.queue.size
            self.admission.refuse_queued(model.Rule.LEAVING)

    def find_leaf_bonus(self, call: model.Call) -> float:
        """Return the bonus of a call; see ``leaf_bonus``."""
        if call.depth or not self.downstream_level.is_leaf(call.route):
            return 0.0
        return self.leaf_bonus

    def find_call_level(self, call: model.Call) -> float:
        """Return the level that a call's priority number is compared with."""
        level = self.find_level(call.route)
        if level >= decisions.MAX_LEVEL:
            return level
        return min(decisions.MAX_LEVEL, level + self.find_leaf_bonus(call))

    def find_level(self, route: str) -> float:
        """Return the level at which a route's whole chain admits calls.

        It is the lowest of the own level and those that were reported of the
        services that the route calls in at least half of its requests. An
        estimate of what they admit by now is not a new report and must not be
        passed on as one.

        Args:
            route: Path prefix of the route.
        """
        return min(
            self.admission.find_level(), self.downstream_level.find(route)[0]
        )

    def build_report(self, call: model.Call) -> model.LoadReport:
        """Build the load report for a call's route."""
        report = self.admission.build_report(call, self.find_call_level(call))
        report.notice = self.find_notice()
        report.excess = self.shares.build(
            self.admission.find_level(),
            self.downstream_level.calls.list_dependencies(call.route),
        )
        return report

    def check(self, call: model.Call) -> model.Refusal | None:
        """Return why a call cannot run at all, or None."""
        return self.check_upstream(call, self.leaving)

    def check_start(self, call: model.Call) -> model.Refusal | None:
        """Return why a call cannot be sent after a wait, or None.

        The upstream may have left or may have been replaced meanwhile, and
        the policy may have changed.
        """
        return self.check_upstream(call, self.upstream_leaving)

    def check_upstream(
        self, call: model.Call, leaving: bool
    ) -> model.Refusal | None:
        """Return why the upstream cannot take a call, or None."""
        if self.client is None or call.service != self.service:
            rule = model.Rule.NO_UPSTREAM
            detail = 'this node has no upstream of %s' % call.service
        elif leaving:
            self.refused_leaving += 1
            rule = model.Rule.LEAVING
            detail = 'the upstream is leaving'
        elif call.deadline <= time.monotonic():
            rule = model.Rule.DEADLINE
            detail = 'the deadline passed before the call could start'
        else:
            return self.check_policy(call)
        return model.build_refusal(call, model.Verdict.NOT_RUN, rule, detail)

    async def execute(
        self,
        call: model.Call,
        content: bytes,
        body: model.Body | None,
        call_admission: admission.Admission,
        permit: permits.Permit,
    ) -> Result[model.Answer, model.Refusal]:
        """Send an admitted call to the upstream."""
        account = self.chains.enter(call)
        if call.repeat is not model.RepeatKind.FIRST:
            account.repeated = True
        started = time.monotonic()
        waited_before_s = account.waited_s
        self.running += 1
        self.idle.clear()
        unspent = 0

        def finish() -> int:
            nonlocal unspent
            call_admission.release(permit)
            self.downstream_level.count(call, account.called)
            unspent = self.chains.leave(call)
            self.running -= 1
            if self.running == 0:
                self.idle.set()
            return unspent

        def record_outcome(
            failed: bool, answered: bool, refused_by_upstream: bool = False
        ) -> None:
            own_time_s = (
                time.monotonic()
                - started
                - (account.waited_s - waited_before_s)
            )
            # An upstream that made calls may only pass on that a deeper
            # service refused or was late; this must not lower its limit.
            call_admission.record_outcome(
                call,
                permit,
                own_time_s=max(0.0, own_time_s) if answered else None,
                failed=failed and not account.called,
                refused_by_upstream=refused_by_upstream,
            )

        try:
            result = await self.client.request(
                call, content, body, now=started
            )
        except BaseException:
            finish()
            raise
        if result.is_error():
            rule = result.error.rule
            record_outcome(
                rule in OVERLOAD_RULES,
                False,
                rule is model.Rule.UPSTREAM_REFUSED,
            )
            result.error.unspent = finish()
            result.error.reports = (self.build_report(call),)
            return result
        answer = result.ok
        # A streamed request takes as long as its sender needs.
        record_outcome(answer.status in OVERLOAD_STATUSES, body is None)
        if answer.body is None:
            answer.unspent = finish()
        else:
            # Retries of a streamed answer are not given back: its head was
            # sent before the upstream has stopped making calls.
            answer.body = notifying_body.NotifyingBody(
                body=answer.body, on_done=finish
            )
        answer.reports = (self.build_report(call),)
        return result

    async def close(self) -> None:
        """Close the connections to the upstream."""
        if self.client is not None:
            await self.client.close()
