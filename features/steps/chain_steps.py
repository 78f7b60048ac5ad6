"""Steps for requests along a chain of services."""

import asyncio
import http.client
import json
import random
import socket

import aiohttp
from behave import given
from behave import then
from behave import when

from features.support import http as http_support
from features.support import memory

# Bounds a test that hangs.
ANSWER_LIMIT_S = 20


@given('a chain of services {names}')
def start_chain(context, names):
    """Start one instance for each service; each calls the next one."""
    services = [name.strip(' "') for name in names.split(',')]
    context.services = services
    with context.system.defer_waits():
        for name, below in zip(services, [*services[1:], None], strict=True):
            node = context.system.start_node(name)
            arguments = ['--calls', below] if below else []
            context.system.start_upstream(node, name, *arguments)
    for name in services:
        context.system.wait_for_members(name, 1)


@given('an upstream of "{service}" with {slots:d} slots')
def start_wide_upstream(context, service, slots):
    """Start one instance with many slots that needs no slow start.

    On a cold start, slow start would shed some of a burst of calls.
    """
    context.services = [service]
    node = context.system.start_node(service)
    context.system.start_upstream(
        node, service, '--slots', str(slots), '--warm'
    )


@given('a node "{name}" without an upstream')
def start_node(context, name):
    """Start a node that has no upstream and only accepts callers' requests."""
    context.system.start_node(name)
    for service in context.services:
        context.system.wait_for_members(service, 1)


@when('a caller asks node "{name}" for "{path}"')
def ask(context, name, path):
    """Send one request."""
    url = context.system.nodes[name].caller_url(path)
    context.status, context.headers, context.body = http_support.request(
        'GET', url
    )


@when('a caller posts {size:d} MB to node "{name}" at "{path}"')
def post(context, size, name, path):
    """Send one request with a large body."""
    url = context.system.nodes[name].caller_url(path)
    context.status, context.headers, context.body = http_support.request(
        'POST', url, body=bytes(size << 20)
    )


@then('the answer has status {status:d}')
def check_status(context, status):
    """Check the status of the answer."""
    assert context.status == status, (context.status, context.body[:500])


@then('the answer\'s JSON field "{field}" is "{value}"')
def check_field(context, field, value):
    """Check a field of the answer."""
    assert str(json.loads(context.body)[field]) == value, context.body


@then('each service of the chain ran {count:d} time')
def check_runs(context, count):
    """Check the runs that the upstreams recorded."""
    for service in context.services:
        runs = context.system.list_runs(service)
        assert len(runs) == count, (service, runs)


@when(
    '{count:d} callers ask node "{name}" at once for "{path}"'
    ' with shuffled delays'
)
def ask_at_once(context, count, name, path):
    """Send concurrent requests whose answers arrive out of order."""
    base = context.system.nodes[name].caller_url(path)
    delays = [index % 200 for index in range(count)]
    random.Random(7).shuffle(delays)

    async def send(session, index):
        url = '%s?echo=caller-%d&delay_ms=%d' % (base, index, delays[index])
        async with session.get(url) as answer:
            return answer.status, await answer.json()

    async def send_all():
        connector = aiohttp.TCPConnector(limit=0)
        limit = aiohttp.ClientTimeout(total=ANSWER_LIMIT_S)
        async with aiohttp.ClientSession(
            connector=connector, timeout=limit
        ) as session:
            return await asyncio.gather(
                *(send(session, index) for index in range(count))
            )

    context.answers = asyncio.run(send_all())


@then('each caller got the whole answer to its own request')
def check_answers(context):
    """Check that no answer was lost or swapped."""
    for index, (status, answer) in enumerate(context.answers):
        assert status == 200, (index, status, answer)
        assert answer['echo'] == 'caller-%d' % index, (index, answer)


@then('node "{name}" has {count:d} connection to node "{other}"')
def check_connections(context, name, count, other):
    """Check a node's own count of its connections to another node."""
    status = http_support.get_json(context.system.nodes[name].status_url())
    assert status['connections'].count(other) == count, status['connections']


@when('a slow reader downloads {size:d} MB from node "{name}" at "{path}"')
def download_slowly(context, size, name, path):
    """Pause in a download; without flow control nodes would buffer it."""
    context.before = {
        item.name: memory.read_resident_bytes(item.process.popen.pid)
        for item in context.system.nodes.values()
    }
    node = context.system.nodes[name]
    with socket.create_connection((node.host, node.caller_port)) as sock:
        sock.settimeout(20)
        request = 'GET %s?size=%d HTTP/1.1\r\nHost: x\r\n\r\n'
        sock.sendall((request % (path, size << 20)).encode())
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        first = answer.read(1 << 20)
        context.system.wait_for(
            lambda: memory.is_memory_stable(
                [
                    item.process.popen.pid
                    for item in context.system.nodes.values()
                ]
            ),
            'the transfer stalls',
        )
        context.after = {
            item.name: memory.read_resident_bytes(item.process.popen.pid)
            for item in context.system.nodes.values()
        }
        context.received = len(first) + len(answer.read())
    context.expected = size << 20


@then('the download is whole')
def check_whole(context):
    """Check the size of the download."""
    assert context.received == context.expected, context.received


@then('no node grew by more than {size:d} MB')
def check_memory(context, size):
    """Check the memory use of the nodes during the reader's pause."""
    for name, before in context.before.items():
        grown = context.after[name] - before
        assert grown <= size << 20, (name, grown)


@when('a caller downloads from node "{name}" at "{path}"')
def download(context, name, path):
    """Download and record the error."""
    url = context.system.nodes[name].caller_url(path)
    context.error = None
    try:
        http_support.request('GET', url)
    except (http.client.IncompleteRead, ConnectionError) as error:
        context.error = error


@then('the download fails as incomplete')
def check_cut(context):
    """Check that the customer could detect the truncated answer."""
    assert context.error is not None
