"""Steps about bytes that faulty upstreams send."""

import asyncio
import collections
import concurrent.futures
import pathlib
import re
import socket
import threading
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.support import wait
from oleanderknot import transport
from oleanderknot.platform import message_headers
from oleanderknot.standins import backend_responses

# Deadline of the requests; their route ends them after 2 s.
DEADLINE_MS = 8000


def send_all(context, name, target, request_ids, workers):
    """Send a POST request for each id, several at once; keep the statuses."""
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        answers = pool.map(
            lambda request_id: context.fleet.send(
                name,
                target,
                method='POST',
                request_id=request_id,
                wait_ms=DEADLINE_MS,
            ),
            request_ids,
        )
        context.statuses = {
            request_id: answer[0]
            for request_id, answer in zip(request_ids, answers, strict=True)
        }
    context.duration_s = time.monotonic() - started


@when('a client of "{name}" sends POST "{target}" as each of')
def send_each(context, name, target):
    """Send a request under each id of the table, one after the other."""
    request_ids = [*context.table.headings]
    request_ids += [row[0] for row in context.table]
    send_all(context, name, target, request_ids, 1)


@then('each of them got status 200 and ran once')
def check_each(context):
    """Check status and number of runs of each request."""
    runs = collections.Counter(run['id'] for run in context.fleet.list_runs())
    found = {
        request_id: (status, runs[request_id])
        for request_id, status in context.statuses.items()
    }
    assert set(found.values()) == {(200, 1)}, found


@when('{count:d} clients of "{name}" send POST "{target}" at once')
def send_at_once(context, count, name, target):
    """Send several requests at the same time."""
    request_ids = ['e%d' % index for index in range(count)]
    send_all(context, name, target, request_ids, count)


@when(
    '{count:d} clients of "{name}" send POST "{target}" at once, '
    '{times:d} times'
)
def send_at_once_repeatedly(context, count, name, target, times):
    """Send several requests at the same time, in the background."""
    context.found = collections.Counter()

    def send():
        for index in range(times):
            request_ids = ['e%d-%d' % (index, item) for item in range(count)]
            send_all(context, name, target, request_ids, count)
            context.found.update(context.statuses.values())

    context.sender = threading.Thread(target=send)
    context.sender.start()


@when('a client of "{name}" sends GET "{target}" as "{request_id}" meanwhile')
def send_meanwhile(context, name, target, request_id):
    """Send requests one after the other while the others run."""
    context.statuses_meanwhile = []
    while context.sender.is_alive():
        context.statuses_meanwhile.append(
            context.fleet.send(name, target, request_id=request_id)[0]
        )
        time.sleep(0.05)
    context.sender.join()


@then('none of them got status {status:d}')
def check_none(context, status):
    """Check the statuses of all requests."""
    assert context.found and status not in context.found, context.found


@then('every request meanwhile got status {status:d}')
def check_meanwhile(context, status):
    """Check the statuses of the requests that ran beside the others."""
    found = collections.Counter(context.statuses_meanwhile)
    assert set(found) == {status}, found


@given('a connection to an upstream that waits for an answer')
def build_connection(context):
    """Build a connection without a socket that has sent a request."""
    context.parsed = 0

    def decode(headers):
        context.parsed += 1
        return message_headers.parse_response_headers(headers)

    async def build():
        context.connection = transport.ResponseConnection(
            decode_headers=decode, budget=transport.ReceiveBudget()
        )
        context.connection.connection_made(mock.Mock())
        context.waiter = context.connection.request([b''], 'r1')

    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.loop.run_until_complete(build())


@when('one read brings {count:d} interim responses')
def receive_interim(context, count):
    """Pass the bytes of one read to the connection."""
    context.connection.data_received(
        b'HTTP/1.1 102 Processing\r\n\r\n' * count
    )


@then('at most {limit:d} of them were parsed, and the request has failed')
def check_parsed(context, limit):
    """Check how many responses were decoded."""
    assert 0 < context.parsed <= limit, context.parsed
    assert context.waiter.exception() is not None


@when('the largest body is set to {size:d} bytes')
def set_body_limit(context, size):
    """Put a policy with this limit, and wait for it."""
    version = context.fleet.put_policy(maxBodyBytes=size)
    for item in context.fleet.sidecars.values():
        wait.wait_until(
            lambda item=item: (
                'policy version %d is in force' % version
                in item.process.read_log()
            ),
            '%s has version %d' % (item.name, version),
        )


@when(
    '{count:d} clients of "{name}" send {size:d} bytes to "{target}" at once'
)
def send_uploads(context, count, name, size, target):
    """Send large bodies at the same time, in the background."""
    context.found = collections.Counter()
    body = bytes(size)

    def upload(index):
        return context.fleet.send(
            name,
            target,
            method='POST',
            request_id='u%d' % index,
            body=body,
            wait_ms=DEADLINE_MS,
        )[0]

    def send():
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            context.found.update(pool.map(upload, range(count)))

    context.sender = threading.Thread(target=send)
    context.sender.start()


@then('each upload got status 200 or 503, and at least one got 200')
def check_uploads(context):
    """Check the statuses of the uploads."""
    assert context.found[200], context.found
    assert set(context.found) <= {200, 503}, context.found


@when(
    '{count:d} clients of "{name}" send {sent:d} of {size:d} bytes to '
    '"{target}" and leave, {times:d} times'
)
def send_partly(context, count, name, sent, size, target, times):
    """Send requests whose bodies are not complete, one after the other."""
    host, port = context.fleet.sidecars[name].requests.split(':')
    head = (
        'POST %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: p\r\n'
        'Content-Length: %d\r\n\r\n' % (target, size)
    ).encode()
    body = b'x' * sent
    for _ in range(count * times):
        with socket.create_connection((host, int(port)), timeout=10) as item:
            item.sendall(head + body)


@then('all of them get status {allowed} before {seconds:d} s have passed')
def check_all(context, allowed, seconds):
    """Check the statuses of all requests and when the last one ended."""
    found = collections.Counter(context.statuses.values())
    assert set(map(str, found)) <= set(re.findall('[0-9]+', allowed)), found
    assert context.duration_s < seconds, context.duration_s


@then('"{name}" used at most {limit:d} MB of memory')
def check_memory(context, name, limit):
    """Check the peak of the resident memory of a node."""
    pid = context.fleet.sidecars[name].process.popen.pid
    status = pathlib.Path('/proc/%d/status' % pid).read_text()
    peak_mb = int(re.search('VmHWM:\\s+([0-9]+)', status)[1]) / 1024
    assert peak_mb <= limit, peak_mb


@when('the store has the fault "{fault}" for {span_s:d} s')
def inject_store_fault(context, fault, span_s):
    """Let the store misbehave for a while; a change ends pending polls."""
    context.fleet.set_faults(**{fault: 1})
    context.fleet.put_policy()
    time.sleep(span_s)
    context.fleet.set_faults(**{fault: 0})


@when('the policy changes after the fault')
def change_policy(context):
    """Write a new version of the policy."""
    context.version = context.fleet.put_policy()


@then('"{first}" and "{second}" have the new policy')
def check_policy(context, first, second):
    """Wait until the nodes have logged the new version."""
    text = 'policy version %d is in force' % context.version
    for name in (first, second):
        process = context.fleet.sidecars[name].process
        wait.wait_until(
            lambda process=process: text in process.read_log(),
            'policy of ' + name,
        )


@when(
    'a client of "{name}" sends POST "{target}" cut after each of the first'
    ' {part:w} bytes of {which} answer with framing "{framing}"'
)
def send_cut(context, name, target, part, which, framing):
    """Send a request for each length at which its answer is cut.

    Before a later answer, the connection to the upstream carries a whole one.
    """
    size = int(target.rpartition('=')[2])
    body = b'x' * size
    context.statuses = collections.Counter()
    length = 0
    end = 1
    while length < end:
        request_id = 'c%s-%d' % (which[0], length)
        whole = backend_responses.build_framed(request_id, body, framing)
        head_size = whole.index(b'\r\n\r\n') + 4
        end = head_size if part == 'head' else len(whole)
        if which != 'an':
            status, _, _ = context.fleet.send(
                name, '/order/0', request_id=request_id + 'b'
            )
            assert status == 200, status
        status, _, content = context.fleet.send(
            name,
            '%s&fault=cut&bytes=%d&framing=%s' % (target, length, framing),
            method='POST',
            request_id=request_id,
        )
        context.statuses[status] += 1
        assert status == 502, (length, whole[:length], status, content)
        length += 1


@then('no answer was passed on as whole')
def check_cut(context):
    """Check that requests were sent and each one failed."""
    assert context.statuses.keys() == {502}, context.statuses
