"""Steps about clients that leave before their answer is complete."""

import asyncio
import socket
import time
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
from expression import Ok

from features.support import raw_peer
from features.support import virtual_loop
from features.support import wait
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import body_pipe
from oleanderknot.tasks import departure_watch
from oleanderknot.tasks import routed_dispatcher


@when(
    '{count:d} clients of "{name}" send {size:d} bytes to "{target}", '
    'wait {wait_s:f} s and leave'
)
def send_and_leave(context, count, name, size, target, wait_s):
    """Send complete requests at once and close their connections."""
    host, port = context.fleet.sidecars[name].requests.split(':')
    clients = []
    for number in range(count):
        client = socket.create_connection((host, int(port)), timeout=10)
        clients.append(client)
        head = (
            'POST %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: gone%d\r\n'
            'Deadline-Milliseconds: 6000\r\nContent-Length: %d\r\n\r\n'
        )
        client.sendall((head % (target, number, size)).encode())
        client.sendall(b'x' * size)
    time.sleep(wait_s)
    for client in clients:
        client.close()


def build_requests(count, target):
    """Return the bytes of pipelined requests without a body."""
    head = (
        'GET %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: gone%d\r\n'
        'Deadline-Milliseconds: 6000\r\n\r\n'
    )
    return ''.join(head % (target, number) for number in range(count)).encode()


def connect_and_leave(context, name, data, wait_s):
    """Send bytes on a new connection, and close it after a while."""
    host, port = context.fleet.sidecars[name].requests.split(':')
    with socket.create_connection((host, int(port)), timeout=10) as client:
        client.sendall(data)
        time.sleep(wait_s)


@when(
    'a client of "{name}" sends {count:d} requests for "{target}" ahead, '
    'waits {wait_s:f} s and leaves'
)
def send_ahead_and_leave(context, name, count, target, wait_s):
    """Send requests on one connection before any is answered, and close it."""
    connect_and_leave(context, name, build_requests(count, target), wait_s)


@when(
    'a client of "{name}" sends {count:d} requests for "{target}", '
    '{size:d} bytes of an upload, waits {wait_s:f} s and leaves'
)
def send_upload_and_leave(context, name, count, target, size, wait_s):
    """Send requests and a part of an upload behind them."""
    upload = (
        'POST /page/2 HTTP/1.1\r\nHost: shop.example\r\n'
        'Request-Id: gone-upload\r\nContent-Length: %d\r\n\r\n' % (2 * size)
    )
    connect_and_leave(
        context,
        name,
        build_requests(count, target) + upload.encode() + b'x' * size,
        wait_s,
    )


@when(
    'a client of "{name}" sends {count:d} requests for "{target}" and an '
    'invalid one, waits {wait_s:f} s and leaves'
)
def send_invalid_and_leave(context, name, count, target, wait_s):
    """Send requests and something that is no request behind them."""
    connect_and_leave(
        context,
        name,
        build_requests(count, target) + b'no request\r\n\r\n',
        wait_s,
    )


@then(
    'the back end of "{name}" drops {count:d} of them before their end, and '
    'begins no other'
)
def check_dropped(context, name, count):
    """Check the runs, also when all of them would have ended."""

    def find_runs():
        return context.fleet.query_backend(name, '/-/runs')

    wait.wait_until(
        lambda: len(find_runs()['cancelled']) == count,
        '%d requests are dropped' % count,
    )
    time.sleep(4.0)
    found = find_runs()
    begun = [
        run['id'] for run in found['runs'] if run['id'].startswith('gone')
    ]
    ended = [item for item in found['finished'] if item.startswith('gone')]
    assert len(begun) == count and not ended, (begun, ended)


@then('the back end of "{name}" ran nothing for the clients that left')
def check_nothing_ran(context, name):
    """Check the runs, some time after the slot became free."""
    time.sleep(1.0)
    runs = context.fleet.query_backend(name, '/-/runs')['runs']
    late = [run['id'] for run in runs if run['id'].startswith('gone')]
    assert not late, late


@given('a watch on a connection whose requests run and that is not read')
def watch_connection(context):
    """Connect a client to a socket that nothing reads."""
    context.loop = virtual_loop.build_loop()
    context.add_cleanup(context.loop.close)
    with socket.create_server(('127.0.0.1', 0)) as server:
        context.client = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
    context.add_cleanup(accepted.close)
    connection = mock.Mock(
        pipeline=types.SimpleNamespace(busy=True),
        transport=mock.Mock(get_extra_info=lambda name: accepted),
    )
    context.left = asyncio.Event()

    async def watch():
        context.watch = departure_watch.DepartureWatch(
            on_left=lambda connection: context.left.set()
        )
        context.watch.add(connection)

    context.loop.run_until_complete(watch())


@when('its client sends {size:d} bytes and leaves')
def leave_unread(context, size):
    """Close the connection behind bytes that are not read."""
    context.client.sendall(b'x' * size)
    context.client.close()


@then('the watch gives it up within {span:f} s')
def check_given_up(context, span):
    """Wait for the watch to find that the client has left."""
    context.loop.run_until_complete(
        asyncio.wait_for(context.left.wait(), span)
    )


@then('the watch has no timer')
def check_no_timer(context):
    """Check that nothing is scheduled without connections."""
    assert context.watch.timer is None, context.watch.timer


@given('a call whose answer of another node has arrived in part')
def build_partial_answer(context):
    """Build a dispatcher with a connection that holds half an answer."""
    context.on_cancel = mock.Mock()
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    body = body_pipe.BodyPipe(
        on_credit=lambda size: None, on_cancel=context.on_cancel
    )
    body.put(b'x' * 1000, False)
    connection = mock.Mock()
    connection.open = mock.AsyncMock(
        return_value=Ok(
            model.Answer(status=200, headers=[], content=b'x', body=body)
        )
    )
    pool = mock.Mock()
    pool.find.return_value = connection
    context.dispatcher = routed_dispatcher.RoutedDispatcher(
        identity=model.NodeIdentity(
            instance='one', incarnation=1, data_centre='dc1'
        ),
        members=decisions.MemberTable(),
        runner=mock.Mock(),
        pool=pool,
        record=mock.Mock(),
        run_local=mock.Mock(),
        rng=mock.Mock(),
    )
    context.member = model.Member(
        instance='two',
        incarnation=1,
        version=1,
        state=model.MemberState.TAKING,
        data_centre='dc1',
        host='127.0.0.1',
        peer_port=1,
    )


@when('its client leaves')
def cancel_attempt(context):
    """Cancel the task of the call once it waits for the rest."""

    async def leave():
        task = asyncio.ensure_future(
            context.dispatcher.attempt(context.member, mock.Mock(), b'')
        )
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert task.cancelled()

    context.loop.run_until_complete(leave())


@then('the other node is told to cancel it')
def check_told(context):
    """Check that the rest of the answer was cancelled once."""
    context.on_cancel.assert_called_once_with()


@when('another node sends a part of a body to "{name}" and gives it up')
def give_up_body(context, name):
    """Open a call whose body ends with a failure."""
    host, port = context.fleet.sidecars[name].peers.split(':')
    peer = raw_peer.RawPeer(
        node=types.SimpleNamespace(host=host, peer_port=int(port))
    )
    context.add_cleanup(peer.close)
    now = time.monotonic()
    call = model.Call(
        service='orders',
        method='POST',
        path='/order/1',
        headers=[],
        request_class=model.RequestClass.ORDER,
        depth=0,
        deadline=now + 5.0,
        idempotent=False,
        trace_id='t1',
        span_id='s1',
        route='order',
        ticket=0,
        sampled=False,
        has_body=True,
    )
    peer.send(
        1,
        open=wire.open_from_call(
            call,
            body=b'first part',
            body_complete=False,
            now=now,
            unix_time_s=time.time(),
            clock_s=now,
        ),
    )
    peer.send(
        1,
        failure=wire.Failure(
            verdict=1, rule='body_cut', detail='the caller left'
        ),
    )
    context.failure = peer.wait_for('failure')


@then('it is told that the call has not run')
def check_not_run(context):
    """Check the verdict and the rule of the refusal."""
    refusal = wire.refusal_from_failure(context.failure)
    assert refusal.verdict is model.Verdict.NOT_RUN, refusal
    assert refusal.rule is model.Rule.BODY_CUT, refusal


@then('"{name}" logs no unexpected error')
def check_no_error(context, name):
    """Check the log of a node."""
    log = context.fleet.sidecars[name].process.read_log()
    assert 'unexpected error' not in log, log[-4000:]
