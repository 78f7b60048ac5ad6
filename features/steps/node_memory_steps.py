"""Steps about the memory of a node and the progress of transfers."""

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import body_pipe
from oleanderknot.tasks import client_connection
from oleanderknot.tasks import client_listener
from oleanderknot.tasks import client_timeouts


@given('a node with {size:d} bytes of memory and the holders')
def build_memory(context, size):
    """Build the memory with leases of the given kinds and rates."""
    context.memory = decisions.NodeMemory(max_bytes=size)
    context.gave_way = []
    for row in context.table:
        lease = context.memory.lease(
            decisions.HolderKind[row['kind']],
            lambda name=row['name']: context.gave_way.append(name),
        )
        if row['rate']:
            lease.progress = decisions.TransferProgress(now=0, transferred=0)
            lease.progress.observe(1.0, int(row['rate']), 1)
        assert lease.resize(int(row['size']))


@when('another one needs {size:d} bytes')
def need_memory(context, size):
    """Create a further holder of a running body."""
    lease = context.memory.lease(decisions.HolderKind.RUNNING)
    context.granted = lease.extend(size)


@then('it {outcome} and "{names}" give way')
@then('it {outcome} and "" give way')
def check_outcome(context, outcome, names=''):
    """Check whether there was room, who gave way, and the sum."""
    assert context.granted is (outcome == 'gets them')
    found = ', '.join(context.gave_way)
    assert found == names, found
    held = sum(lease.size for lease in context.memory.leases)
    assert context.memory.held == held <= context.memory.max_bytes


@given('a body of another node that is complete and not read')
def build_complete_body(context):
    """Build a body whose last chunk has arrived."""
    context.body = body_pipe.BodyPipe(
        on_credit=mock.Mock(), on_cancel=mock.Mock()
    )
    context.body.put(b'first', False)
    context.body.put(b'last', True)


@when('it gives way')
def cancel_body(context):
    """Cancel the body as a lease that gives way does."""
    context.body.cancel()


@then('its reader gets an error and no part of it')
def check_body_error(context):
    """Check that the body does not end regularly."""
    try:
        data = asyncio.run(context.body.read())
    except model.IncompleteBodyError:
        return
    raise AssertionError(data)


@given('a transfer of which {size:d} bytes are wanted in {period:d} s')
def build_progress(context, size, period):
    """Start to measure a transfer."""
    context.min_bytes = size
    context.period_s = period
    context.now = 0.0
    context.done = 0
    context.progress = decisions.TransferProgress(now=0.0, transferred=0)


@when('{size:d} bytes come every {interval:d} s for {span:d} s')
def transfer(context, size, interval, span):
    """Observe the transfer twice a second."""
    end = context.now + span
    ever_stalled = False
    while context.now < end:
        context.now += 0.5
        if context.now % interval == 0:
            context.done += size
        context.progress.observe(context.now, context.done, context.min_bytes)
        ever_stalled = ever_stalled or context.progress.is_stalled(
            context.now, context.period_s
        )
    context.ever_stalled = ever_stalled


@then('the transfer is {state}')
def check_progress(context, state):
    """Check whether it stalled at any time, and its rate at the end."""
    found = (context.ever_stalled, context.progress.is_slow())
    assert (
        found
        == {
            'stalled and slow': (True, True),
            'not stalled but slow': (False, True),
            'neither': (False, False),
        }[state]
    ), found


@when('the client sends one read of {count:d} chunks of one byte')
def send_chunks(context, count):
    """Pass a read with many chunks to the connection."""

    async def send():
        context.connection.data_received(
            b'POST /unsafe/1 HTTP/1.1\r\nHost: a\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n' + b'1\r\nx\r\n' * count
        )
        context.parsed = context.connection.parser.body_bytes

    context.loop.run_until_complete(send())


@then('at most {limit:d} of them are parsed at once')
def check_parsed(context, limit):
    """Check the number of chunks before the next turn of the loop."""
    assert 0 < context.parsed <= limit, context.parsed


@when('the loop goes on until the bytes are parsed')
def parse_all(context):
    """Let the loop run while there are bytes to parse."""

    async def run():
        while context.connection.backlog:
            await asyncio.sleep(0)

    context.loop.run_until_complete(run())


@then('the connection holds {least:d} to {most:d} bytes')
def check_held(context, least, most):
    """Check what the connection has counted."""
    size = context.connection.memory.lease.size
    assert least <= size <= most, size


def build_connection(listener, kind):
    """Build a connection that has received what its kind says."""
    connection = client_connection.ClientConnection(listener=listener)
    transport = mock.Mock(kind=kind)
    transport.get_write_buffer_size.return_value = 0
    transport.get_extra_info.return_value = None
    connection.connection_made(transport)
    if kind == 'head':
        connection.data_received(b'GET / HTTP/1.1\r\nHost: ')
    elif kind == 'idle':
        # Requests have been answered before.
        connection.memory.received = 100
    return connection


@given('a listener for {count:d} connections with {kinds}')
def build_listener(context, count, kinds):
    """Build a listener whose connections are as the kinds say."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def build():
        context.listener = client_listener.ClientListener(
            handle=mock.Mock(),
            limits=model.ClientLimits,
            count=mock.Mock(),
            bounds=lambda: model.ClientBounds(max_connections=count),
        )
        context.connections = [
            build_connection(context.listener, kind)
            for kind in kinds.split(', ')
        ]

    context.loop.run_until_complete(build())


@when('a new connection comes')
def connect(context):
    """Add a connection to the full listener."""

    async def build():
        context.connections.append(
            build_connection(context.listener, 'the new')
        )

    context.loop.run_until_complete(build())


@then('the closed connection is {kind}')
def check_closed(context, kind):
    """Check that only the connection of this kind was closed."""
    closed = [
        connection.transport.kind
        for connection in context.connections
        if connection.transport.abort.called
    ]
    assert closed == [kind], closed


@when('the client sends a body slowly, and more memory is needed')
def send_slowly(context):
    """Send a part of a body, and observe that no more comes."""

    async def send():
        context.connection.data_received(
            b'POST /unsafe/1 HTTP/1.1\r\nHost: a\r\n'
            b'Content-Length: 1000\r\n\r\n' + b'x' * 900
        )
        for now in (0.0, 0.6, 1.2):
            client_timeouts.check(
                context.connection,
                now,
                model.ClientLimits(),
                model.ClientBounds(),
            )

    context.loop.run_until_complete(send())


@when('the client sends the rest of the body')
def send_rest(context):
    """Complete the request."""

    async def send():
        context.connection.data_received(b'x' * 100)
        await asyncio.sleep(0)

    context.loop.run_until_complete(send())


def may_give_way(context):
    """Return whether the connection would give way to another holder."""
    other = context.listener.memory.lease(decisions.HolderKind.RUNNING)
    return context.connection.memory.lease.may_give_way(other, 1000)


@then('the client may give way')
def check_may_give_way(context):
    """Check that the connection gives way if memory is short."""
    assert may_give_way(context)


@then('the client may not give way')
def check_may_not_give_way(context):
    """Check that the connection does not give way."""
    assert not may_give_way(context)


@then('nothing is held')
def check_nothing_held(context):
    """Check the memory after the turns that were due."""

    async def run():
        for _ in range(100):
            await asyncio.sleep(0)

    context.loop.run_until_complete(run())
    assert context.listener.memory.held == 0, context.listener.memory.held
