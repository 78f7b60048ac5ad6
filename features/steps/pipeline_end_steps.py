"""Steps about the end of the requests of a client connection."""

import asyncio

from behave import given
from behave import then
from behave import when

from oleanderknot import model
from oleanderknot.tasks import request_pipeline


@given('a pipeline whose handler {behaviour}')
def name_handler(context, behaviour):
    """Keep what the handler does."""
    context.behaviour = behaviour


@when('the connection closes {moment} the handler begins')
def close_pipeline(context, moment):
    """Play a connection that closes with a request that has not ended."""
    context.begun = []
    context.idle = []
    context.responses = []

    async def handle(request):
        context.begun.append(request)
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            if context.behaviour == 'waits':
                raise
            if context.behaviour == 'fails when cancelled':
                raise RuntimeError('failed') from None
        return model.HttpResponse(status=200)

    async def play():
        pipeline = request_pipeline.RequestPipeline(
            handle=handle,
            capture_check=lambda: None,
            is_writable=lambda: True,
            on_response=context.responses.append,
            on_end=lambda entry: None,
            on_idle=lambda: context.idle.append(pipeline.running),
        )
        request = model.HttpRequest(
            method='GET', target='/', headers=[], content=b'', received_at=0.0
        )
        pipeline.add(request, True, 0)
        if moment == 'after':
            await asyncio.sleep(0.01)
        assert not context.idle
        pipeline.close()
        await asyncio.sleep(0.01)

    asyncio.run(play())


@then('the pipeline is idle exactly once, after {begun:d} handlers have begun')
def check_idle(context, begun):
    """Check that the end of the request was counted once."""
    assert context.idle == [0], context.idle
    assert len(context.begun) == begun, context.begun


@then('no response is passed on')
def check_no_response(context):
    """Check that a closed connection writes nothing."""
    assert not context.responses, context.responses
