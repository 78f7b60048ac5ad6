"""Steps that test graceful stops of nodes."""

import http.client
import json
import socket
import threading
import time

from behave import given
from behave import then
from behave import when

from features.support import http as http_support

FIRST_BYTES = 1 << 20


def open_connection(context, name):
    """Open an HTTP connection to a node's callers' port."""
    node = context.system.nodes[name]
    connection = http.client.HTTPConnection(
        node.host, node.caller_port, timeout=20
    )
    connection.connect()
    return connection


@given('an upstream of "{service}" beside "{name}" that calls "{below}"')
def start_caller(context, service, name, below):
    """Start an upstream that makes an outgoing call for each request."""
    node = context.system.nodes[name]
    context.system.start_upstream(node, service, '--calls', below)
    context.system.wait_for_members(service, 1)


@when('a caller starts a download of {size:d} MB from "{name}" at "{path}"')
def start_download(context, size, name, path):
    """Read the first part, so that the rest is in flight."""
    context.expected = size << 20
    connection = open_connection(context, name)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    connection.request('GET', '%s?size=%d' % (path, context.expected))
    context.download = connection.getresponse()
    context.received = len(context.download.read(FIRST_BYTES))


@when('the caller reads the whole download')
def finish_download(context):
    """Read slowly enough that the stop waits for the download."""
    while part := context.download.read(4 << 20):
        context.received += len(part)
        time.sleep(0.1)


@when('a caller starts a payment of {ms:d} ms at "{name}" at "{path}"')
def start_payment(context, ms, name, path):
    """Post a slow request from another thread."""
    url = context.system.nodes[name].caller_url(path)
    context.payment = []

    def send_payment():
        context.payment.append(
            http_support.request('POST', '%s?delay_ms=%d' % (url, ms))
        )

    context.payment_thread = threading.Thread(target=send_payment, daemon=True)
    context.payment_thread.start()


def list_runs(context, name):
    """Return the runs that the upstream beside a node recorded."""
    url = context.system.nodes[name].upstream_url('/-/runs')
    return http_support.get_json(url)['runs']


@when('both requests run at the upstream beside "{name}"')
def wait_for_both(context, name):
    """Wait until both requests have started."""
    wait_for_runs(context, 2, name)


@when('{count:d} request runs at the upstream beside "{name}"')
def wait_for_runs(context, count, name):
    """Wait until requests have started."""
    paths = ('pay', 'star')
    context.system.wait_for(
        lambda: (
            sum(
                any(path in run['path'] for path in paths)
                for run in list_runs(context, name)
            )
            == count
        ),
        'the requests run',
    )


def check_payment(context):
    """Check the answer to the payment."""
    context.payment_thread.join(20)
    (answer,) = context.payment
    status, _, body = answer
    assert status == 200, (status, body)
    return json.loads(body)


@then('the download and the payment are whole')
def check_download_and_payment(context):
    """Check both answers."""
    assert context.received == context.expected, context.received
    check_payment(context)


@then('the payment ran once at the upstream beside "{name}"')
def check_ran_once(context, name):
    """Check that the stop caused no second run."""
    paths = [run['path'] for run in list_runs(context, name)]
    assert sum('pay' in path for path in paths) == 1, paths


@then('the payment is whole and "{service}" ran {count:d} time')
def check_downstream_runs(context, service, count):
    """Check the answer and the runs of a service."""
    answer = check_payment(context)
    assert all(status == 200 for status in answer['below']), answer
    runs = [
        run
        for node in context.system.nodes.values()
        if node.upstream is not None
        for run in list_runs(context, node.name)
        if 'pay' in run['path']
    ]
    expected = count if service == 'patterns' else count + 1
    assert len(runs) == expected, runs


@when('{count:d} callers keep connections to "{name}" after an answer')
def open_used_connections(context, count, name):
    """Open connections that have carried a request."""
    context.open_connections = [
        open_connection(context, name) for _ in range(count)
    ]
    for connection in context.open_connections:
        send_request(connection)


@when('{count:d} callers keep connections to "{name}" without a request')
def open_unused_connections(context, count, name):
    """Open connections and send nothing."""
    context.open_connections = [
        open_connection(context, name) for _ in range(count)
    ]


def send_request(connection):
    """Send one request on a connection and check its answer."""
    connection.request('GET', '/patterns/page')
    answer = connection.getresponse()
    body = answer.read()
    return answer, body


@then('new connections to "{name}" are refused')
def check_refused(context, name):
    """Wait until the listening socket is closed."""

    def is_refused():
        try:
            open_connection(context, name).close()
        except ConnectionRefusedError:
            return True
        return False

    context.system.wait_for(is_refused, 'new connections are refused')


@then('each kept connection gets one more whole answer and then ends')
def check_open_connections(context):
    """Check that the end of a connection is announced with an answer."""
    for connection in context.open_connections:
        answer, body = send_request(connection)
        # The only upstream is leaving, so the answer is a whole refusal.
        assert answer.status == 503, answer.status
        assert json.loads(body)['verdict'] == 'not-run', body
        assert answer.getheader('Connection') == 'close'
        assert connection.sock is None or connection.sock.recv(1) == b''


@then('node "{name}" exits with status {status:d} within {seconds:g} s')
def check_quick_exit(context, name, status, seconds):
    """Check that a stop takes no longer than necessary."""
    process = context.system.nodes[name].process
    started = time.monotonic()
    assert process.wait() == status, process.read_log()[-2000:]
    waited = time.monotonic() - started
    assert waited < seconds, waited
