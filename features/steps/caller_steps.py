"""Steps for callers that disconnect or wait for 100 Continue."""

import socket

from behave import then
from behave import when

from features.support import http as http_support


def open_request(node, head):
    """Send the head of a request and return its connection."""
    sock = socket.create_connection((node.host, node.caller_port))
    sock.settimeout(10)
    sock.sendall(head.encode())
    return sock


def read_counts(context, service):
    """Return the counts of a service's upstream."""
    node = context.system.nodes[service]
    return http_support.get_json(node.upstream_url('/-/runs'))


@when('{count:d} callers leave node "{name}" while "{method}" "{path}" runs')
def leave(context, count, name, method, path):
    """Send requests and close the connections once all of them run."""
    node = context.system.nodes[name]
    head = '%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n'
    socks = [open_request(node, head % (method, path)) for _ in range(count)]
    service = path.split('/')[1]
    context.system.wait_for(
        lambda: len(read_counts(context, service)['runs']) == count,
        'all requests run',
    )
    for sock in socks:
        sock.close()


@then('service "{service}" cancelled {count:d} runs')
def check_cancelled(context, service, count):
    """Wait until the upstream has seen the cancellations."""
    context.system.wait_for(
        lambda: read_counts(context, service)['cancelled'] == count,
        'the runs are cancelled',
    )


@then('service "{service}" finished {count:d} runs and cancelled none')
def check_finished(context, service, count):
    """Wait until the upstream has finished its runs."""
    context.system.wait_for(
        lambda: read_counts(context, service)['finished'] == count,
        'the runs finish',
    )
    assert read_counts(context, service)['cancelled'] == 0


@when(
    'a caller announces a body of {size:d} bytes and waits for status 100'
    ' at node "{name}"'
)
def wait_for_continue(context, size, name):
    """Send the body only after the node has asked for it."""
    head = (
        'POST /media/video HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n'
        'Expect: 100-continue\r\n\r\n' % size
    )
    with open_request(context.system.nodes[name], head) as sock:
        context.first = sock.recv(1000)
        sock.sendall(bytes(size))
        context.second = sock.recv(1000)


@then('the caller gets status {first:d} and then status {second:d}')
def check_continue(context, first, second):
    """Check both status lines."""
    assert context.first.startswith(b'HTTP/1.1 %d' % first), context.first
    assert context.second.startswith(b'HTTP/1.1 %d' % second), context.second
