"""Steps for embedded nodes."""

import asyncio

from behave import then
from behave import when

from features.support import ports
from oleanderknot import border
from oleanderknot import model
from oleanderknot.node import embedded_node


async def send_all(context, paths):
    """Start an embedded node, send requests and stop it."""
    (port,) = ports.allocate_ports(1)
    seeds = [
        item.find_peer_address() for item in context.system.nodes.values()
    ]
    settings = border.NodeSettings.model_validate(
        {
            'instance': 'embedded',
            'data_centre': 'dc1',
            'listen': {'peer_port': port},
            'seeds': seeds,
        }
    )
    async with embedded_node.open_node(settings) as embedded:
        while len(embedded.node.members.members) < 3:
            await asyncio.sleep(0.02)
        return [await embedded.request('GET', path) for path in paths]


@when(
    'an embedded node sends {count:d} requests to "{path}" and 1 to "{other}"'
)
def send_embedded(context, count, path, other):
    """Send requests through a node embedded in this process."""
    paths = [path] * count + [other]
    context.results = asyncio.run(send_all(context, paths))


@then('{whole:d} of its requests are whole and 1 is refused as not run')
def check_results(context, whole):
    """Check answers and the refusal."""
    answers = [item.ok for item in context.results if item.is_ok()]
    assert [item.status for item in answers] == [200] * whole, answers
    (refusal,) = [item.error for item in context.results if item.is_error()]
    assert refusal.verdict is model.Verdict.NOT_RUN, refusal


@then('service "{service}" ran {count:d} times')
def check_run_count(context, service, count):
    """Check the runs that the upstream recorded."""
    assert len(context.system.list_runs(service)) == count
