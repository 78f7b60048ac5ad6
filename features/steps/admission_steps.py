"""Steps about the admission task, on an event loop of their own."""

import asyncio

from behave import given
from behave import then
from behave import when

from oleanderknot import model
from oleanderknot.tasks import admission


def build_call(loop):
    """Build a call whose deadline no test reaches."""
    return model.Call(
        service='inventory',
        method='GET',
        path='/',
        headers=[],
        request_class=model.RequestClass.BROWSING,
        deadline=loop.time() + 60,
        trace_id='0' * 32,
        span_id='0' * 16,
        route='/',
    )


@given('an admission with one place that is taken and two calls that wait')
def fill_admission(context):
    """Take the only place and let two calls wait for it."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def fill():
        context.admission = admission.Admission(slots=1)
        context.place = await context.admission.enter(build_call(context.loop))
        context.waiting = [
            context.loop.create_task(
                context.admission.enter(build_call(context.loop))
            )
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        assert context.admission.queue.size == 2

    context.loop.run_until_complete(fill())


@when('the first waiting call is cancelled {moment}')
def cancel_first(context, moment):
    """Remember when the call is to be cancelled."""
    context.late = moment == 'in the turn in which it got a place'


@when('the place is given back')
def give_back(context):
    """Give the place back, before or after the cancellation."""
    first, second = context.waiting

    async def run():
        if not context.late:
            first.cancel()
            await asyncio.sleep(0)
        context.admission.leave(context.place)
        if context.late:
            first.cancel()
        results = await asyncio.gather(first, second, return_exceptions=True)
        context.cancelled, context.second = results

    context.loop.run_until_complete(run())


@then('the second waiting call gets the place')
def check_second(context):
    """Check that the place went on to the next call."""
    assert isinstance(context.cancelled, asyncio.CancelledError)
    assert isinstance(context.second, admission.Place), context.second


@then('no call runs or waits once it has left')
def check_empty(context):
    """Check that no place is lost."""
    assert context.admission.running == 1, context.admission.running
    context.admission.leave(context.second)
    assert context.admission.running == 0
    assert context.admission.queue.size == 0
