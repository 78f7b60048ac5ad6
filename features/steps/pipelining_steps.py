"""Steps about requests that are sent before earlier ones are answered."""

import asyncio
import re
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.support import wait
from oleanderknot import model
from oleanderknot.tasks import client_connection
from oleanderknot.tasks import client_listener

# Turns of the event loop in which a task starts or passes on its result.
TURNS = 5


class HeldRequests:
    """Handler whose requests run until they are told to end.

    Attributes:
        running: Futures of the responses by the number of the request.
        all_safe: Whether the policy in force makes all requests safe.
    """

    def __init__(self):
        self.running = {}
        self.all_safe = False

    async def handle(self, request):
        """Wait for the end of a request."""
        number = request.target.rpartition('/')[2]
        self.running[number] = asyncio.get_running_loop().create_future()
        try:
            return await self.running[number]
        finally:
            del self.running[number]

    def capture_check(self):
        """Return the check of requests by the policy in force."""
        all_safe = self.all_safe
        return lambda request: (
            all_safe or not request.target.startswith('/unsafe/')
        )


def run_turns(context, function=lambda: None):
    """Call a function in the event loop, and let all tasks go on."""

    async def run():
        function()
        for _ in range(TURNS):
            await asyncio.sleep(0)

    context.loop.run_until_complete(run())


@given('a client connection')
def build_connection(context):
    """Build a connection without a socket."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.held = HeldRequests()

    def build():
        context.listener = client_listener.ClientListener(
            handle=context.held.handle,
            capture_check=context.held.capture_check,
            limits=model.ClientLimits,
            count=mock.Mock(),
        )
        context.connection = client_connection.ClientConnection(
            listener=context.listener
        )
        context.transport = mock.Mock()
        context.transport.get_write_buffer_size.return_value = 0
        context.transport.get_extra_info.return_value = ('127.0.0.1', 4000)
        context.connection.connection_made(context.transport)

    run_turns(context, build)
    context.add_cleanup(lose_connection, context)


@when('the client sends the requests "{texts}"')
def send_requests(context, texts):
    """Let the connection read requests such as ``safe 1 close``."""
    data = b''
    for text in texts.split(', '):
        kind, number, *ending = text.split(' ')
        data += (
            'GET /%s/%s HTTP/1.1\r\nHost: a\r\nConnection: %s\r\n\r\n'
            % (kind, number, ending[0] if ending else 'keep-alive')
        ).encode()
    run_turns(context, lambda: context.connection.data_received(data))


@when('request {number:d} ends')
def end_request(context, number):
    """Let a request end with its number in the response."""
    response = model.HttpResponse(
        status=200, headers=[(b'Number', b'%d' % number)]
    )
    future = context.held.running[str(number)]
    run_turns(context, lambda: future.set_result(response))


@then('the requests "{numbers}" run and "{answered}" are answered')
@then('the requests "{numbers}" run and "" are answered')
@then('the requests "" run and "{answered}" are answered')
@then('the requests "" run and "" are answered')
def check_requests(context, numbers='', answered=''):
    """Check which requests run and the order of all responses so far."""
    assert sorted(context.held.running) == numbers.split(), (
        context.held.running
    )
    written = b''.join(
        call.args[0] for call in context.transport.write.call_args_list
    )
    found = re.findall(r'Number: (\d+)', written.decode())
    assert found == answered.split(), found


def send_filler(context, size):
    """Send safe requests of about a number of bytes in all."""
    data = b''.join(
        b'GET /safe/%07d HTTP/1.1\r\nHost: a\r\n\r\n' % (size + number)
        for number in range(size // 39)
    )
    run_turns(context, lambda: context.connection.data_received(data))


@when('the client sends 8 requests, and 65,000 bytes of further ones')
def send_ahead(context):
    """Fill the connection and what it reads ahead."""
    send_requests(context, ', '.join('safe %d' % index for index in range(8)))
    send_filler(context, 65_000)


@when('the client sends 2,000 bytes of further ones')
def send_more(context):
    """Send more than the connection reads ahead."""
    send_filler(context, 2_000)


@when('all requests have ended, and all those behind them')
def end_all(context):
    """Let requests end until none is left."""
    while context.held.running:
        for future in list(context.held.running.values()):
            if not future.done():
                future.set_result(model.HttpResponse(status=200))
        run_turns(context)


@then('the connection reads on')
def check_reading(context):
    """Check that reading is not paused now."""
    transport = context.transport
    assert not context.connection.paused
    assert (
        transport.pause_reading.call_count
        == transport.resume_reading.call_count
    )


@then('the connection reads no more')
def check_paused(context):
    """Check that reading is paused."""
    assert context.transport.pause_reading.called
    assert not context.transport.resume_reading.called


@then('the connection reads again')
def check_resumed(context):
    """Check that reading goes on."""
    assert context.transport.resume_reading.called


@then('the connection is closed')
def check_closed(context):
    """Check that the transport was closed."""
    assert context.transport.close.called


@when('the client reads no more')
def pause_writing(context):
    """Report a full write buffer."""
    run_turns(context, lambda: context.connection.pause_writing())


@when('the client reads again')
def resume_writing(context):
    """Report a drained write buffer."""
    run_turns(context, lambda: context.connection.resume_writing())


@when('the client disconnects')
def lose_connection(context):
    """Report the end of the connection."""
    run_turns(context, lambda: context.connection.connection_lost(None))


@then('the connection is idle')
def check_idle(context):
    """Check that a planned stop would not wait for the connection."""
    assert context.listener.active == 0, context.listener.active


@when('a new policy makes all requests safe')
def change_policy(context):
    """Change the check of the requests that are started from now on."""
    context.held.all_safe = True


@then('the back end of "{name}" has finished "{first}" but not "{second}"')
def check_finished_first(context, name, first, second):
    """Wait for the end of a run while an earlier one goes on."""

    def find_finished():
        return context.fleet.query_backend(name, '/-/runs')['finished']

    wait.wait_until(lambda: first in find_finished(), '%s ends' % first)
    assert second not in find_finished(), find_finished()


@when('a client sends the last request "{text}" on the connection')
def send_last(context, text):
    """Send a request after which the client closes the connection."""
    context.pipeline.sendall(
        (
            '%s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: last\r\n'
            'Deadline-Milliseconds: 4000\r\nConnection: close\r\n\r\n' % text
        ).encode()
    )


@then('their ids are "{ids}"')
def check_ids(context, ids):
    """Check that each request got its own answer, in order."""
    found = re.findall(rb'(?i)Request-Id: (\S+)', context.received)
    assert b' '.join(found).decode() == ids, context.received
