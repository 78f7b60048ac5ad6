"""Steps that test answers without a valid end or status."""

import asyncio
import time

from behave import given
from behave import then
from behave import when

from features.support import wait
from oleanderknot import model
from oleanderknot.tasks import upstream_client

CALL_TIMEOUT_S = 2.0


@given('the policy allows bodies of {size:d} bytes')
def allow_bodies(context, size):
    """Put limits in force at all nodes.

    The body is larger than the socket buffers of both ends together, so it
    cannot be sent as a whole while the server does not read.
    """
    version = context.fleet.put_policy(maxBodyBytes=size)
    for item in context.fleet.sidecars.values():
        wait.wait_until(
            lambda item=item: (
                'policy version %d is in force' % version
                in item.process.read_log()
            ),
            'version %d at %s' % (version, item.name),
        )


@when(
    'a client of "{name}" sends POST "{target}" as "{request_id}" and the time'
    ' is taken'
)
def send_timed(context, name, target, request_id):
    """Send a request and measure the time until its answer."""
    started = time.monotonic()
    context.answer = context.fleet.send(
        name, target, method='POST', request_id=request_id
    )
    context.duration_s = time.monotonic() - started


@then('the log of "{first}" and of "{second}" has no line with "{text}"')
def check_logs(context, first, second, text):
    """Check that no node has logged a text."""
    for name in (first, second):
        assert text not in context.fleet.sidecars[name].process.read_log()


@given('a server that answers each request with the status line "{line}"')
def set_status_line(context, line):
    """Set what the server of the next call answers."""
    context.status_line = line.encode()


async def send_call(status_line):
    """Return the result of a call to a server with a status line."""

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(status_line + b'\r\nContent-Length: 0\r\n\r\n')
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    client = upstream_client.UpstreamClient(
        host='127.0.0.1', port=server.sockets[0].getsockname()[1], slots=1
    )
    now = time.monotonic()
    call = model.Call(
        service='orders',
        method='GET',
        path='/',
        headers=[],
        request_class=model.RequestClass.BROWSING,
        deadline=now + CALL_TIMEOUT_S,
        trace_id='1' * 32,
        span_id='1' * 16,
    )
    try:
        return await client.request(call, b'', None, now=now)
    finally:
        await client.close()
        server.close()


@when("the client of a node's upstream sends a call to it")
def send_to_server(context):
    """Send a call with the client of the product's own interface."""
    context.result = asyncio.run(send_call(context.status_line))


@then('the call may have run, by the rule "{rule}"')
def check_may_have_run(context, rule):
    """Check the refusal of the call."""
    assert context.result.is_error(), context.result
    refusal = context.result.error
    assert refusal.verdict is model.Verdict.MAY_HAVE_RUN, refusal
    assert refusal.rule.value == rule, refusal
