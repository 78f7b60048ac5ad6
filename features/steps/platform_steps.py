"""Steps that send requests to nodes on a platform."""

import re
import socket
import threading
import time

from behave import given
from behave import then
from behave import when

from features.support import fleet
from features.support import wait


@given('a platform with the routes')
def start_platform(context):
    """Start the store and keep the routes for the policy."""
    context.fleet = fleet.Fleet(system=context.system)
    context.fleet.start_store()
    for row in context.table:
        context.fleet.routes[row['name']] = {
            'prefix': row['prefix'],
            'kind': row['kind'],
            'service': row['service'],
        }


@given('the instance "{name}" with a back end of "{service}"')
def start_instance(context, name, service):
    """Start a node and its back end."""
    context.fleet.start(name, service)


@given(
    'the instance "{name}" with a back end of "{service}" and a slack of'
    ' {slack:g}'
)
def start_with_slack(context, name, service, slack):
    """Start a node whose settings allow a number of repeats."""
    context.fleet.start(
        name,
        service,
        retries={'ratio': 0.2, 'slack': slack, 'window': '10ms'},
    )


@given('"{name}" serves "{first}" and "{second}"')
def put_policy(context, name, first, second):
    """Put the policy and wait until requests are served."""
    context.fleet.put_policy()
    for target in (first, second):
        context.fleet.wait_for_service(name, target)


@when('a client of "{name}" sends {method:w} "{target}" as "{request_id}"')
def send(context, name, method, target, request_id):
    """Send a request and keep the answer."""
    context.answer = context.fleet.send(
        name, target, method=method, request_id=request_id
    )


@when(
    'a client of "{name}" sends {method:w} "{target}" as "{request_id}" '
    'with the headers'
)
def send_with_headers(context, name, method, target, request_id):
    """Send a request with headers of the client's own."""
    context.answer = context.fleet.send(
        name,
        target,
        method=method,
        request_id=request_id,
        headers={row['name']: row['value'] for row in context.table},
    )


@when(
    'a client of "{name}" sends {method:w} "{target}" as "{request_id}" '
    'with {size:d} bytes'
)
def send_body(context, name, method, target, request_id, size):
    """Send a request with a body."""
    context.answer = context.fleet.send(
        name, target, method=method, request_id=request_id, body=b'x' * size
    )


@when(
    'a client of "{name}" sends {method:w} "{target}" as "{request_id}" '
    'with {wait_ms:d} ms'
)
def send_with_deadline(context, name, method, target, request_id, wait_ms):
    """Send a request with a deadline of its own."""
    started = time.monotonic()
    context.answer = context.fleet.send(
        name, target, method=method, request_id=request_id, wait_ms=wait_ms
    )
    context.duration_s = time.monotonic() - started


@when(
    'a client of "{name}" sends {method:w} "{target}" as "{request_id}" '
    'and leaves'
)
def send_and_leave(context, name, method, target, request_id):
    """Send a request and close the connection once the request runs."""
    host, port = context.fleet.sidecars[name].requests.split(':')
    with socket.create_connection((host, int(port)), timeout=10) as item:
        head = (
            '%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n'
            'Deadline-Milliseconds: 8000\r\n\r\n'
        )
        item.sendall((head % (method, target, request_id)).encode())
        wait.wait_until(
            lambda: any(
                run['id'] == request_id for run in context.fleet.list_runs()
            ),
            '%s runs' % request_id,
        )


@when(
    'a client of "{name}" sends {method:w} "{target}" as "{request_id}" '
    'and waits'
)
def send_and_wait(context, name, method, target, request_id):
    """Send a request in the background and wait until it runs."""

    def run():
        context.answer = context.fleet.send(
            name, target, method=method, request_id=request_id, wait_ms=9000
        )

    context.sender = threading.Thread(target=run)
    context.sender.start()
    wait.wait_until(
        lambda: any(
            run['id'] == request_id for run in context.fleet.list_runs()
        ),
        '%s runs' % request_id,
    )


@when('a client of "{name}" sends the bytes "{text}"')
def send_bytes(context, name, text):
    """Send bytes as they are and keep all that comes back."""
    host, port = context.fleet.sidecars[name].requests.split(':')
    data = text.replace('\\r', '\r').replace('\\n', '\n').encode()
    received = b''
    with socket.create_connection((host, int(port)), timeout=10) as item:
        item.sendall(data)
        while part := item.recv(4096):
            received += part
    context.received = received


@then('the connection ends after status {status:d}')
def check_ending(context, status):
    """Check the only answer on a connection that has ended."""
    assert context.received.startswith(b'HTTP/1.1 %d ' % status), (
        context.received
    )
    assert context.received.count(b'HTTP/1.1') == 1, context.received


@then('the answers have the statuses {statuses}')
def check_statuses(context, statuses):
    """Check the statuses of all answers on a connection."""
    found = re.findall(rb'HTTP/1.1 (\d+) ', context.received)
    assert b' '.join(found).decode() == statuses, context.received


@then('it gets status {status:d}')
def check_status(context, status):
    """Check the status of the last answer."""
    assert context.answer[0] == status, context.answer


@then('it gets status {status:d} and {size:d} bytes')
def check_body(context, status, size):
    """Check status and length of the last answer."""
    assert context.answer[0] == status, context.answer
    assert len(context.answer[2]) == size, len(context.answer[2])


@then('it gets status {status:d} before {seconds:d} s have passed')
def check_in_time(context, status, seconds):
    """Check that an answer arrived well before the client's deadline."""
    check_status(context, status)
    assert context.duration_s < seconds, context.duration_s


@then('"{request_id}" ran once at "{name}" with the caller "{caller}"')
def check_run(context, request_id, name, caller):
    """Check where a request ran, and on whose behalf."""
    runs = [
        run for run in context.fleet.list_runs() if run['id'] == request_id
    ]
    assert len(runs) == 1, runs
    assert runs[0]['caller'] == caller, runs
    assert runs[0]['expected'] == 'i-' + name, runs
    assert 0 < int(runs[0]['deadline_ms']) <= 2150, runs


@then('"{request_id}" ran nowhere')
def check_not_run(context, request_id):
    """Check that no back end ran a request."""
    runs = [
        run for run in context.fleet.list_runs() if run['id'] == request_id
    ]
    assert not runs, runs


@then('the back end of "{name}" sees "{request_id}" cancelled')
def check_cancelled(context, name, request_id):
    """Wait until the connection of a run has closed."""
    wait.wait_until(
        lambda: (
            request_id
            in context.fleet.query_backend(name, '/-/runs')['cancelled']
        ),
        '%s is cancelled' % request_id,
    )


@then('the back end of "{name}" finishes "{request_id}"')
def check_finished(context, name, request_id):
    """Wait until a run has ended by itself."""
    wait.wait_until(
        lambda: (
            request_id
            in context.fleet.query_backend(name, '/-/runs')['finished']
        ),
        '%s is finished' % request_id,
    )
