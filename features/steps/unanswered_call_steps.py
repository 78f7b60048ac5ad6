"""Steps about connections that go silent while they are kept."""

import asyncio
import itertools
import socket
import threading
import time

from behave import given
from behave import then
from behave import when

from features.support import silent_service
from oleanderknot import model
from oleanderknot.node import sidecar_dialect
from oleanderknot.platform import http_client
from oleanderknot.tasks import upstream_client
from oleanderknot.tasks import upstream_pool

CALL_TIMEOUT_S = 2.0


def run(context, coroutine):
    """Run a coroutine on the event loop of the scenario."""
    future = asyncio.run_coroutine_threadsafe(coroutine, context.loop)
    return future.result(10)


def start_service(context):
    """Start a service on an event loop of its own and return its port."""
    context.loop = asyncio.new_event_loop()
    thread = threading.Thread(target=context.loop.run_forever, daemon=True)
    thread.start()
    context.add_cleanup(stop_loop, context.loop, thread)
    context.service = silent_service.SilentService()
    return run(context, context.service.start())


def stop_loop(loop, thread):
    """Cancel all tasks of an event loop, and end its thread."""

    async def cancel_tasks():
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The transports close in the next iterations of the loop.
        await asyncio.sleep(0.05)

    asyncio.run_coroutine_threadsafe(cancel_tasks(), loop).result(10)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()


@given('a service to which {count:d} connections are kept')
def open_connections(context, count):
    """Start a service and make calls at the same time."""
    port = start_service(context)

    async def call_together():
        context.client = http_client.HttpClient(
            url='http://127.0.0.1:%d' % port, timeout_s=CALL_TIMEOUT_S
        )
        results = await asyncio.gather(
            *(context.client.request('GET', '/slow') for _ in range(count))
        )
        assert all(item.is_ok() for item in results), results

    run(context, call_together())
    assert context.service.accepted == count, context.service.accepted


@when('its open connections go silent')
def silence_connections(context):
    """Let the service answer on new connections only."""
    run(context, context.service.silence())


@when('a call gets no response within {timeout_s:f} s')
def lose_call(context, timeout_s):
    """Make a call that times out."""
    result = run(
        context, context.client.fetch('GET', '/', timeout_s=timeout_s)
    )
    assert result.is_error(), result


@when(
    'one call gets no response within {timeout_s:f} s while another one is '
    'answered'
)
def lose_one_of_two(context, timeout_s):
    """Make a call that is never answered, and another one beside it."""

    async def call_together():
        return await asyncio.gather(
            context.client.fetch('GET', '/never', timeout_s=timeout_s),
            context.client.fetch('GET', '/slow'),
            context.client.fetch('GET', '/slow'),
        )

    lost, *others = run(context, call_together())
    assert lost.is_error(), lost
    assert all(item.is_ok() for item in others), others


@then('each of {count:d} calls is answered')
def check_answered(context, count):
    """Make calls one after the other."""
    for _ in range(count):
        result = run(context, context.client.request('GET', '/'))
        assert result.is_ok(), result


@then('the service has accepted {count:d} connections')
def check_accepted(context, count):
    """Check how many connections the client has opened."""
    assert context.service.accepted == count, context.service.accepted


@given('an upstream to which {count:d} connections are kept')
def open_upstream_connections(context, count):
    """Start an upstream and make calls at the same time."""
    port = start_service(context)
    context.numbers = itertools.count()

    async def call_together():
        context.pool = upstream_pool.UpstreamPool(
            host='127.0.0.1',
            port=port,
            upstream='i-1',
            dialect=sidecar_dialect.DIALECT,
            authorize_send=lambda call, resend: True,
            check_start=lambda call: None,
            record_latency=lambda seconds: None,
            on_answer=lambda metadata: None,
        )
        return await asyncio.gather(
            *(call_upstream(context, '/slow') for _ in range(count))
        )

    results = run(context, call_together())
    assert all(item.is_ok() for item in results), results
    assert context.service.accepted == count, context.service.accepted


async def call_upstream(context, path, timeout_s=CALL_TIMEOUT_S):
    """Send one call to the upstream."""
    number = next(context.numbers)
    now = time.monotonic()
    call = model.Call(
        service='orders',
        method='GET',
        path=path,
        headers=[(b'Request-Id', b'r%d' % number)],
        request_class=model.RequestClass(0),
        depth=0,
        deadline=now + timeout_s,
        allowance=0,
        key='',
        idempotent=True,
        trace_id='%032x' % (number + 1),
        span_id='r%d' % number,
        sampled=False,
        route='/',
        ticket=1,
    )
    return await context.pool.request(call, b'', None, now=now)


@when('a call to it gets no answer within {timeout_s:f} s')
def lose_upstream_call(context, timeout_s):
    """Send a call that reaches its deadline."""
    result = run(context, call_upstream(context, '/', timeout_s))
    assert result.is_error(), result


@then('each of {count:d} calls to it is answered')
def check_upstream_answers(context, count):
    """Send calls one after the other."""
    for _ in range(count):
        result = run(context, call_upstream(context, '/'))
        assert result.is_ok(), result


@given('an upstream whose queue of new connections is full')
def fill_accept_queue(context):
    """Open connections until the next one gets no response."""
    listener = socket.socket()
    context.add_cleanup(listener.close)
    listener.bind(('127.0.0.1', 0))
    listener.listen(0)
    context.port = listener.getsockname()[1]
    while True:
        client = socket.socket()
        context.add_cleanup(client.close)
        client.settimeout(0.3)
        try:
            client.connect(('127.0.0.1', context.port))
        except TimeoutError:
            return


@when("a call is sent to it through the product's own interface")
def send_own_call(context):
    """Send a call whose deadline is later than the time-out."""

    async def send():
        client = upstream_client.UpstreamClient(
            host='127.0.0.1', port=context.port, slots=1
        )
        now = time.monotonic()
        call = model.Call(
            service='orders',
            method='POST',
            path='/1',
            headers=[],
            request_class=model.RequestClass.ORDER,
            deadline=now + 10,
            trace_id='0' * 32,
            span_id='0' * 16,
            idempotent=False,
        )
        try:
            return await client.request(call, b'', None, now=now)
        finally:
            await client.close()

    context.result = asyncio.run(send())


@then('the call is refused as not run, since the upstream cannot be reached')
def check_refusal(context):
    """Check verdict and rule of the refusal."""
    refusal = context.result.error
    assert refusal.verdict is model.Verdict.NOT_RUN, refusal
    assert refusal.rule is model.Rule.CONNECTION_REFUSED, refusal
