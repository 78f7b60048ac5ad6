"""Steps about calls on connections between nodes that go silent."""

import asyncio
import collections
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.support import fake_peer
from features.support import http
from features.support import ports
from features.support import wait
from oleanderknot import model
from oleanderknot.tasks import peer_connection


@given('the proxied instances')
def start_proxied(context):
    """Start instances whose nodes reach each other through a proxy."""
    names = [row['name'] for row in context.table]
    control_port, *numbers = ports.allocate_ports(len(names) + 1)
    context.proxy_ports = dict(zip(names, numbers, strict=True))
    context.proxy_url = 'http://127.0.0.1:%d' % control_port
    for row in context.table:
        context.fleet.start(
            row['name'],
            row['service'],
            advertised='127.0.0.1:%d' % context.proxy_ports[row['name']],
        )
    context.system.start_process(
        'proxy',
        'oleanderknot.standins.fault_proxy',
        '--control',
        str(control_port),
        *(
            '%d:%s' % (port, context.fleet.sidecars[name].peers)
            for name, port in context.proxy_ports.items()
        ),
    )
    context.fleet.put_policy()


@when('"{name}" has a connection to "{first}" and "{second}"')
def open_connections(context, name, first, second):
    """Send requests until both back ends have run one."""
    numbers = iter(range(1000))

    def both_have_run():
        context.fleet.send(
            name,
            '/order/warm',
            method='POST',
            request_id='w%d' % next(numbers),
        )
        return all(
            context.fleet.query_backend(item, '/-/runs')['runs']
            for item in (first, second)
        )

    wait.wait_until(both_have_run, 'requests at both back ends')


@when('the open connections between the instances freeze "{direction}"')
def freeze_connections(context, direction):
    """Let the open connections carry nothing any more; new ones work."""
    for port in context.proxy_ports.values():
        http.post_json(
            '%s/%d' % (context.proxy_url, port), {'freeze': direction}
        )


@given('a connection between nodes that both have said goodbye on')
def build_connection(context):
    """Build a connection whose transport fails when it is used again."""
    context.transport = mock.Mock()
    context.transport.write_eof.side_effect = RuntimeError('closed')

    async def build():
        context.connection = peer_connection.PeerConnection(
            identity=model.NodeIdentity(
                instance='a', incarnation=1, data_centre='dc1'
            ),
            handlers=fake_peer.build_handlers(),
            target=None,
        )
        context.connection.connection_made(context.transport)
        context.connection.graceful_close.goodbye_sent = True
        context.connection.graceful_close.goodbye_received = True

    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.loop.run_until_complete(build())


@when('it is lost while a call of the other node runs')
def lose_connection(context):
    """Close the connection with a call open."""
    context.connection.incoming.open_calls[1] = mock.Mock(
        request_body=None, task=None
    )
    context.connection.connection_lost(OSError('reset'))


@then('the end of the call closes nothing')
def check_end(context):
    """End the call; this must not use the transport."""
    context.connection.incoming.open_calls.clear()
    context.connection.incoming.on_ended()
    context.transport.write_eof.assert_not_called()


@then('all of them are answered')
def check_answered(context):
    """Wait for the answers to all requests."""
    for sender in context.senders:
        sender.join(20)
    assert len(context.statuses) == len(context.ids), context.statuses


def count_all_runs(context):
    """Return how often each of the requests has run, some time later."""
    time.sleep(1.0)
    runs = collections.Counter(run['id'] for run in context.fleet.list_runs())
    return {request_id: runs[request_id] for request_id in context.ids}


@then('each of them ran once')
def check_runs(context):
    """Check that each request ran once at all back ends together."""
    runs = count_all_runs(context)
    assert set(runs.values()) == {1}, runs


@then('no order that was refused has run, and none twice')
def check_honest(context):
    """Check the number of runs against the number of refusals."""
    runs = count_all_runs(context)
    assert max(runs.values()) <= 1, runs
    refused = context.statuses.count(503)
    assert sum(runs.values()) <= len(runs) - refused, (runs, context.statuses)
