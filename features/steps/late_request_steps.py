"""Steps that send requests in parts while their node stops."""

import asyncio
import socket
import threading
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.support import wait
from oleanderknot import model
from oleanderknot.tasks import client_connection
from oleanderknot.tasks import client_listener
from oleanderknot.tasks import stop_schedule

TIMEOUT_S = 10.0


@given('the routes have a timeout of {seconds:d} s')
@when('the routes have a timeout of {seconds:d} s')
def set_timeouts(context, seconds):
    """Put a policy whose routes have this timeout, and wait for it."""
    for specification in context.fleet.routes.values():
        specification['timeout'] = '%ds' % seconds
    version = context.fleet.put_policy()
    for item in context.fleet.sidecars.values():
        wait.wait_until(
            lambda item=item: (
                'policy version %d is in force' % version
                in item.process.read_log()
            ),
            '%s has version %d' % (item.name, version),
        )


@when(
    'a client of "{name}" sends POST "{target}" as "{request_id}" but for its'
    ' last byte'
)
def send_part(context, name, target, request_id):
    """Open a connection and send a request without the last byte."""
    host, port = context.fleet.sidecars[name].requests.split(':')
    context.client = socket.create_connection((host, int(port)), TIMEOUT_S)
    context.add_cleanup(context.client.close)
    context.client.sendall(
        (
            'POST %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n'
            'Deadline-Milliseconds: 6000\r\nContent-Length: 2\r\n\r\nx'
            % (target, request_id)
        ).encode()
    )
    # The node has read the first part before the next step.
    time.sleep(0.1)


@when('another client of "{name}" sends POST "{target}"')
def send_in_background(context, name, target):
    """Send a request whose answer is not waited for."""
    thread = threading.Thread(
        target=context.fleet.send,
        args=(name, target),
        kwargs={'method': 'POST', 'request_id': 'other', 'wait_ms': 6000},
    )
    thread.start()
    context.add_cleanup(thread.join)


@when('the client sends the last byte')
def send_rest(context):
    """Complete the request."""
    context.client.sendall(b'y')


@then('the client gets status {status:d}')
def check_status(context, status):
    """Read the head of the answer."""
    head = b''
    while b'\r\n\r\n' not in head:
        data = context.client.recv(4096)
        assert data, 'connection ended after %r' % head
        head += data
    assert int(head.split()[1]) == status, head


@then('"{request_id}" reached no back end')
def check_not_run(context, request_id):
    """Check that the back end got no such request."""
    assert request_id not in context.record.read_text()


@then(
    'the client gets status {status:d} from {earliest_s:f} to {latest_s:f} s '
    'after the signal'
)
def check_status_between(context, status, earliest_s, latest_s):
    """Check the status and the time of an answer during a stop."""
    check_status(context, status)
    took_s = time.monotonic() - context.signalled_at
    assert earliest_s <= took_s <= latest_s, took_s


@given('a stop with {grace_s:f} s of grace')
def begin_stop(context, grace_s):
    """Begin a stop at second 100."""
    context.schedule = stop_schedule.StopSchedule()
    context.schedule.begin(100.0, grace_s)


@then('answers are due after {allowed_s:f} s and before its drain ends')
def check_answer_time(context, allowed_s):
    """Check the time by which answers are due."""
    schedule = context.schedule
    assert allowed_s <= schedule.answer_by - 100.0, schedule.answer_by
    assert schedule.refuse_from < schedule.answer_by < schedule.end_at


@then('the drain ends before {grace_s:f} s')
def check_drain_end(context, grace_s):
    """Check that the process is not killed during its drain."""
    assert context.schedule.end_at < 100.0 + grace_s, context.schedule.end_at


@given('a listener whose drain has just begun')
def build_listener(context):
    """Build a listener on an event loop that runs step by step."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def handle(request):
        await asyncio.sleep(0)
        return model.HttpResponse(status=200)

    async def build():
        context.listener = client_listener.ClientListener(
            handle=handle,
            limits=lambda: model.ClientLimits(
                max_header_bytes=1000,
                max_body_bytes=1000,
                header_timeout_s=1.0,
                idle_timeout_s=1.0,
            ),
            count=lambda name: None,
        )
        context.connection = client_connection.ClientConnection(
            listener=context.listener
        )

    context.loop.run_until_complete(build())


@when("a client's request is read and {then}")
def read_request(context, then):
    """Let the connection read a request within one turn of the loop."""

    async def read():
        transport = mock.Mock()
        transport.get_write_buffer_size.return_value = 0
        transport.get_extra_info.return_value = ('127.0.0.1', 4000)
        context.connection.connection_made(transport)
        context.connection.data_received(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        context.busy_at_once = context.listener.active
        if then == 'the client leaves':
            context.connection.connection_lost(None)

    context.loop.run_until_complete(read())


@then('{count:d} connection is busy at once')
def check_busy(context, count):
    """Check the count before the task of the connection could begin."""
    assert context.busy_at_once == count, context.busy_at_once


@then('no connection is busy after the request')
def check_idle(context):
    """Check the count some turns of the loop later."""

    async def wait_for_idle():
        async with asyncio.timeout(5):
            await context.listener.idle.wait()

    context.loop.run_until_complete(wait_for_idle())
    assert context.listener.active == 0, context.listener.active
