"""Runs calls at the own upstream."""

import asyncio
import collections.abc
import time

from expression import Error
from expression import Ok
from expression import Result

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import admission
from oleanderknot.tasks import finished_body
from oleanderknot.tasks import order_claim
from oleanderknot.tasks import order_runner
from oleanderknot.tasks import upstream_client

# Answers of an upstream that sheds load.
SHED_STATUSES = (429, 503)

GateFunction = collections.abc.Callable[[model.Call], model.Refusal | None]


class Runner:
    """Owns the way to the own upstream and decides what it runs.

    Attributes:
        service: Service of the upstream; empty before it is announced.
        client: HTTP connections to the upstream.
        admission: Slots of the upstream.
        chains: Accounts of the chains that the upstream runs.
        leaving: Whether the upstream takes no new work.
        running: Calls that this task works on, until their answer is whole.
        orders: Runs non-idempotent calls at most once.
        idle: Set while ``running`` is 0.
        refused_leaving: Calls refused because the upstream is leaving.
        gate: Returns why policy refuses a call, or None.
    """

    def __init__(self, *, chains: decisions.ChainTable) -> None:
        self.chains = chains
        self.service = ''
        self.client: upstream_client.UpstreamClient | None = None
        self.admission = admission.Admission(slots=1)
        self.leaving = False
        self.running = 0
        self.orders: order_runner.OrderRunner | None = None
        self.idle = asyncio.Event()
        self.idle.set()
        self.refused_leaving = 0
        self.gate: GateFunction = lambda call: None

    async def attach(
        self, *, service: str, host: str, port: int, slots: int
    ) -> None:
        """Take the upstream that calls run at.

        Args:
            service: Service that it offers.
            host: IP address of the upstream.
            port: TCP port of the upstream.
            slots: Calls that it can run at once.
        """
        old = self.client
        self.client = upstream_client.UpstreamClient(
            host=host, port=port, slots=slots
        )
        self.admission = admission.Admission(slots=slots)
        self.service = service
        if old is not None:
            await old.close()

    async def run(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> Result[model.Answer, model.Refusal]:
        """Run a call at the upstream.

        Args:
            call: The call.
            content: First bytes of the request body.
            body: Rest of the request body, if it arrives in parts.

        Returns:
            The answer, or a refusal that says whether the call may have run.
        """
        if not call.idempotent:
            return await self.orders.run(call, content, body)
        return await self.admit(call, content, body)

    async def admit(
        self,
        call: model.Call,
        content: bytes,
        body: model.Body | None,
        claim: order_claim.ClaimFunction | None = None,
    ) -> Result[model.Answer, model.Refusal]:
        """Run a call at the upstream if it may be run now.

        Args:
            call: The call.
            content: First bytes of the request body.
            body: Rest of the request body, if it arrives in parts.
            claim: Has the last word once the call has a slot.

        Returns:
            The answer, or a refusal that says whether the call may have run.
        """
        refusal = self.check(call)
        if refusal is None:
            slots = self.admission
            refusal = await slots.enter(call)
            if refusal is None and claim is not None:
                refusal = await self.take_claim(call, slots, claim)
        if refusal is not None:
            refusal.unspent = call.allowance
            refusal.reports = (self.admission.build_report(call),)
            return Error(refusal)
        return await self.execute(call, content, body, slots)

    async def take_claim(
        self,
        call: model.Call,
        slots: admission.Admission,
        claim: order_claim.ClaimFunction,
    ) -> model.Refusal | None:
        """Claim a call's key, and free the slot when that fails."""
        passed = False
        try:
            refusal = await claim()
            passed = refusal is None
            return refusal
        finally:
            if not passed:
                slots.leave(call, own_time_s=0.0, failed=False)

    def check(self, call: model.Call) -> model.Refusal | None:
        """Return why a call cannot run at all, or None."""
        if self.client is None or call.service != self.service:
            rule = model.Rule.NO_UPSTREAM
            detail = 'this node has no upstream of %s' % call.service
        elif self.leaving:
            self.refused_leaving += 1
            rule = model.Rule.LEAVING
            detail = 'the upstream is leaving'
        elif call.deadline <= time.monotonic():
            rule = model.Rule.DEADLINE
            detail = 'the deadline passed before the call could start'
        else:
            return self.gate(call)
        return model.build_refusal(call, model.Verdict.NOT_RUN, rule, detail)

    async def execute(
        self,
        call: model.Call,
        content: bytes,
        body: model.Body | None,
        slots: admission.Admission,
    ) -> Result[model.Answer, model.Refusal]:
        """Send an admitted call to the upstream."""
        account = self.chains.enter(call)
        started = time.monotonic()
        waited = account.waited
        self.running += 1
        self.idle.clear()
        unspent = 0

        def finish(failed: bool) -> int:
            nonlocal unspent
            own_time = time.monotonic() - started - (account.waited - waited)
            slots.leave(call, own_time_s=max(0.0, own_time), failed=failed)
            unspent = self.chains.leave(call)
            self.running -= 1
            if self.running == 0:
                self.idle.set()
            return unspent

        try:
            result = await self.request(call, content, body, started)
        except BaseException:
            finish(True)
            raise
        if result.is_error():
            result.error.unspent = finish(True)
            result.error.reports = (slots.build_report(call),)
            return result
        answer = result.ok
        failed = answer.status in SHED_STATUSES
        if answer.body is None:
            answer.unspent = finish(failed)
        else:
            # Retries of a streamed answer are not given back: its head has
            # left before the upstream has stopped to make calls.
            answer.body = finished_body.FinishedBody(
                body=answer.body, on_done=lambda: finish(failed)
            )
        answer.reports = (slots.build_report(call),)
        return Ok(answer)

    async def request(
        self,
        call: model.Call,
        content: bytes,
        body: model.Body | None,
        now: float,
    ) -> Result[model.Answer, model.Refusal]:
        """Send a call; an idempotent one is cancelled at its deadline.

        A non-idempotent call runs to its end, since a cancelled one may
        have run half.
        """
        sending = self.client.request(call, content, body, now=now)
        if not call.idempotent:
            return await sending
        try:
            async with asyncio.timeout_at(call.deadline):
                return await sending
        except TimeoutError:
            return Error(
                model.build_refusal(
                    call,
                    model.Verdict.MAY_HAVE_RUN,
                    model.Rule.UPSTREAM_TIMEOUT,
                    'the upstream did not answer before the deadline',
                )
            )

    async def close(self) -> None:
        """Close the connections to the upstream."""
        if self.client is not None:
            await self.client.close()
