"""Steps that test the admission controller on an event loop of its own."""

import asyncio

from behave import given
from behave import then
from behave import when

from oleanderknot import model
from oleanderknot.node import local_upstream
from oleanderknot.tasks import admission
from oleanderknot.tasks import permit as permits

# Seconds until the deadline of a call that must not expire in a test.
DISTANT_DEADLINE_S = 60


def build_call(loop, left_s=DISTANT_DEADLINE_S):
    """Build a call whose deadline is the given number of seconds away."""
    return model.Call(
        service='inventory',
        method='GET',
        path='/',
        headers=[],
        request_class=model.RequestClass.BROWSING,
        deadline=loop.time() + left_s,
        trace_id='0' * 32,
        span_id='0' * 16,
        route='/',
    )


@given('an admission with one place that is taken and two calls that wait')
def fill_admission(context):
    """Acquire the only permit and queue two calls for it."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def fill():
        context.admission = admission.Admission(slots=1)
        context.permit = await context.admission.acquire(
            build_call(context.loop)
        )
        context.waiting_tasks = [
            context.loop.create_task(
                context.admission.acquire(build_call(context.loop))
            )
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        assert context.admission.queue.size == 2

    context.loop.run_until_complete(fill())


@when('the first waiting call is cancelled {moment}')
def cancel_first(context, moment):
    """Store whether the cancellation comes after the permit is granted."""
    context.cancel_after_grant = (
        moment == 'in the turn in which it got a place'
    )


@when('the place is given back')
def release_permit(context):
    """Release the permit, before or after the cancellation."""
    first, second = context.waiting_tasks

    async def run():
        if not context.cancel_after_grant:
            first.cancel()
            await asyncio.sleep(0)
        context.admission.release(context.permit)
        if context.cancel_after_grant:
            first.cancel()
        results = await asyncio.gather(first, second, return_exceptions=True)
        context.first_result, context.second_result = results

    context.loop.run_until_complete(run())


@then('the second waiting call gets the place')
def check_second(context):
    """Check that the permit was granted to the next call."""
    assert isinstance(context.first_result, asyncio.CancelledError)
    assert isinstance(context.second_result, permits.Permit), (
        context.second_result
    )


@then('no call runs or waits once it has left')
def check_empty(context):
    """Check that no permit is leaked."""
    assert context.admission.running == 1, context.admission.running
    context.admission.release(context.second_result)
    assert context.admission.running == 0
    assert context.admission.queue.size == 0


@given('an admission with one place that is taken by calls of {taken_ms:d} ms')
def build_admission_with_times(context, taken_ms):
    """Record service times of past calls and acquire the only permit."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def fill():
        context.admission = admission.Admission(slots=1)
        now = context.loop.time()
        for _ in range(50):
            context.admission.times.count('GET', '/', taken_ms / 1000, now)
        await context.admission.acquire(build_call(context.loop))

    context.loop.run_until_complete(fill())


@when('a call with {left_ms:d} ms left waits for it')
def wait_until_refused(context, left_ms):
    """Queue a call with a short deadline until it is refused."""

    async def run():
        call = build_call(context.loop, left_ms / 1000)
        context.refusal = await context.admission.acquire(call)
        context.refusal_margin_s = call.deadline - context.loop.time()

    context.loop.run_until_complete(run())


@then(
    'it is refused as {rule}, not run, at least {least_ms:d} ms before its'
    ' deadline'
)
def check_early_refusal(context, rule, least_ms):
    """Check the rule, the verdict and the time of the refusal."""
    assert context.refusal.rule.value == rule, context.refusal
    assert context.refusal.verdict is model.Verdict.NOT_RUN
    assert context.refusal_margin_s * 1000 >= least_ms, (
        context.refusal_margin_s
    )


@given('a node of a platform whose upstream has {slots:d} slots')
def build_platform_admission(context, slots):
    """Build the admission controller as a node on a platform does."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def build():
        context.admission = local_upstream.build_admission(slots, warm=True)

    context.loop.run_until_complete(build())


@when('{count:d} calls arrive at once')
def send_at_once(context, count):
    """Start calls concurrently and cancel all of them after counting."""

    async def run():
        tasks = [
            context.loop.create_task(
                context.admission.acquire(build_call(context.loop))
            )
            for _ in range(count)
        ]
        await asyncio.sleep(0)
        context.running = context.admission.running
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.loop.run_until_complete(run())


@then('{places:d} of them run')
def check_running(context, places):
    """Check how many calls run at the upstream."""
    assert context.running == places, context.running
