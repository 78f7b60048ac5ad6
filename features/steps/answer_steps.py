"""Steps for the integrity of answers under faults."""

import asyncio
import collections
import random
import socket

import aiohttp
from behave import given
from behave import then
from behave import when

from features.support import fake_peer
from features.support import http as http_support
from oleanderknot import model

SIZES = (0, 100, 70_000, 400_000)
CUTS = 10

# Request starts are spread over this time, so that faults hit every stage.
SPREAD_S = 1.5


@given('an upstream of "{service}" behind a fault proxy')
def start_proxied(context, service):
    """Start one instance whose peers connect through a fault proxy."""
    context.services = [service]
    node = context.system.start_node(service, proxied=True)
    # On a cold start, slow start would shed some of a burst of calls.
    context.system.start_upstream(node, service, '--slots', '1000', '--warm')


@given('a node "{name}" behind a fault proxy')
def start_proxied_node(context, name):
    """Start a node without an upstream behind a fault proxy."""
    context.system.start_node(name, proxied=True)
    for service in context.services:
        context.system.wait_for_members(service, 1)


def build_expected(index, size):
    """Return the body that a caller must receive."""
    text = b'caller-%d ' % index
    return (text * (size // len(text) + 1))[:size]


async def download(session, base, index, size):
    """Download one pattern and return the outcome."""
    await asyncio.sleep(SPREAD_S * (index % 41) / 41)
    url = '%s?echo=caller-%d&size=%d&delay_ms=%d' % (
        base,
        index,
        size,
        index % 50,
    )
    try:
        async with session.get(url) as answer:
            content = await answer.read()
    except (aiohttp.ClientError, OSError):
        return 'cut'
    if answer.status != 200:
        return 'refused' if answer.status in (503, 504) else 'wrong status'
    whole = content == build_expected(index, size)
    return 'whole' if whole else 'wrong'


def inject_all(system, **faults):
    """Inject faults on the connections between all nodes.

    Either of two nodes may have opened the connection that they share.
    """
    for node in system.nodes.values():
        system.inject_faults(node, **faults)


async def inject_faults(system, fault):
    """Inject faults while the downloads run."""
    if fault == 'connections are cut again and again':
        for _ in range(CUTS):
            await asyncio.sleep(0.1)
            await asyncio.to_thread(inject_all, system, cut=True)
    elif fault == 'open connections go silent':
        await asyncio.sleep(0.5)
        await asyncio.to_thread(inject_all, system, freeze='both')


@when(
    '{count:d} callers download their own patterns from node "{name}"'
    ' while {fault}'
)
def download_all(context, count, name, fault):
    """Send requests of many sizes at once while faults are injected."""
    system = context.system
    if fault == 'messages arrive out of order':
        inject_all(system, swap=True, cut=True)
    elif fault == 'messages arrive late':
        inject_all(system, delay_ms=20)
    base = system.nodes[name].caller_url('/%s/star' % context.services[0])

    async def run():
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            faults = asyncio.create_task(inject_faults(system, fault))
            results = await asyncio.gather(
                *(
                    download(session, base, index, SIZES[index % len(SIZES)])
                    for index in range(count)
                )
            )
            await faults
            return results

    context.results = asyncio.run(run())


@then('no caller got a short, mixed or foreign answer')
def check_own(context):
    """Check that every completed body is the one its caller asked for."""
    wrong = [item for item in context.results if item.startswith('wrong')]
    print(collections.Counter(context.results))
    assert not wrong, wrong


@then('at least {share:d} of 100 callers got their whole answer')
def check_share(context, share):
    """Check that enough downloads completed despite the fault."""
    whole = context.results.count('whole')
    assert whole * 100 >= share * len(context.results), context.results


@given('a peer that answers with the numbers and sessions of other calls')
def prepare_peer(context):
    """Prepare the simulated peer."""
    context.peer = fake_peer.FakePeer()


@when('a node sends {count:d} calls to this peer')
def send_calls(context, count):
    """Open calls on real peer connections."""
    context.results = asyncio.run(fake_peer.send_calls(context.peer, count))


@then('each call is refused as may-have-run and none gets a foreign answer')
def check_refusals(context):
    """Check that no invalid frame was accepted as an answer."""
    assert context.results
    for result in context.results:
        assert result.is_error(), result
        assert result.error.verdict is model.Verdict.MAY_HAVE_RUN, result


@when(
    '{count:d} random byte strings are sent to the peer port of node "{name}"'
)
def send_garbage(context, count, name):
    """Send random bytes, each time over a separate connection."""
    node = context.system.nodes[name]
    rng = random.Random(11)
    for _ in range(count):
        content = rng.randbytes(rng.randrange(1, 200))
        if rng.random() < 0.5:
            content = len(content).to_bytes(4, 'big') + content
        with socket.create_connection((node.host, node.peer_port)) as sock:
            sock.sendall(content)


@then('node "{name}" counts at least {count:d} "{event}"')
def check_counter(context, name, count, event):
    """Wait until a node has counted an event."""
    url = context.system.nodes[name].status_url()
    context.system.wait_for(
        lambda: http_support.get_json(url)['counters'].get(event, 0) >= count,
        '%s counts %s' % (name, event),
    )


@then('a caller gets "{path}" from node "{name}"')
def check_served(context, path, name):
    """Check that the system still serves requests."""
    url = context.system.nodes[name].caller_url(path)
    status, _, body = http_support.request('GET', url)
    assert status == 200, (status, body)
