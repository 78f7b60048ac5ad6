"""Steps for alerts."""

import asyncio
import dataclasses
import json
from unittest import mock

from behave import given
from behave import then
from behave import when
from expression import Error
from expression import Ok

from features.support import http
from features.support import webhook
from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import alerts


@given('a webhook that answers with status {status:d}')
def start_webhook(context, status):
    """Start the simulated webhook; nodes started later use it."""
    context.webhook = webhook.Webhook(status=status)
    context.system.exit_stack.callback(context.webhook.close)
    context.system.extra_settings['alerts'] = {
        'webhook_url': context.webhook.url,
        'retry_min_s': 0.1,
        'retry_max_s': 0.2,
        'probe_s': 0.2,
        'order_refusals_s': 0.5,
    }


@when('the webhook answers with status {status:d}')
def change_webhook(context, status):
    """Change the status that the webhook answers with."""
    context.webhook.status = status


@when('the webhook has refused {count:d} posts of "{kind}"')
def wait_for_refused(context, count, kind):
    """Wait until refused posts have been retried."""
    context.system.wait_for(
        lambda: context.webhook.rejected_counts[kind] >= count,
        'posts are repeated',
    )


@when('orders are refused by node "{name}" until the webhook has "{kind}"')
def refuse_orders(context, name, kind):
    """Send orders to an unknown service until the alert arrives."""
    url = context.system.nodes[name].caller_url('/nothing/order')

    def is_posted():
        assert http.request('POST', url)[0] == 503
        return context.webhook.list_alerts(kind)

    context.system.wait_for(is_posted, 'the alert is posted')


@then('the webhook has taken the alert "{kind}" once')
def check_taken(context, kind):
    """Wait for an alert; nodes that detect the same condition post it once."""
    context.system.wait_for(
        lambda: context.webhook.list_alerts(kind), 'the alert is posted'
    )
    context.alert = context.webhook.list_alerts(kind)[0]
    wait_for_empty(context)
    assert len(context.webhook.list_alerts(kind)) == 1, (
        context.webhook.accepted_alerts
    )


def wait_for_empty(context):
    """Wait until each node has stored and posted its alerts."""
    running = [
        node
        for node in context.system.nodes.values()
        if node.process.is_running()
    ]
    for node in running:
        context.system.wait_for(
            lambda node=node: http.get_json(node.status_url())['alerts'] == [],
            'no alert is on its way',
        )


@then('no node has alerts on their way')
def check_empty(context):
    """Check that no node has alerts left to store or post."""
    wait_for_empty(context)


@then('the post names instance "{name}" and what to do')
def check_post(context, name):
    """Check the fields of the post."""
    assert context.alert['instance'] == name, context.alert
    assert name in context.alert['text'], context.alert
    assert context.alert['action'], context.alert


def run_alert(context, *arguments):
    """Run an alert command and return its output."""
    process = context.system.start_process(
        'alert',
        'oleanderknot',
        'alert',
        *arguments,
        '--table',
        context.system.platform_url(''),
    )
    assert process.wait() == 0, process.read_log()
    return process.read_log()


def list_alerts(context):
    """Return the open alerts as the command lists them."""
    return json.loads(run_alert(context, 'list', '--output', 'json'))


@then('the command alert list names "{kind}" as open')
def check_open(context, kind):
    """Check that an alert is listed as posted and open."""
    found = [item for item in list_alerts(context) if item['kind'] == kind]
    assert len(found) == 1, found
    assert found[0]['posted'] and not found[0]['acknowledged_by'], found


@when('an operator acknowledges the alert "{kind}"')
def acknowledge(context, kind):
    """Acknowledge the alert with its id."""
    (found,) = [item for item in list_alerts(context) if item['kind'] == kind]
    run_alert(context, 'ack', found['id'], '--by', 'Mia')


@then('the command alert list names no alert')
def check_none_open(context):
    """Check that no alert is open."""
    assert list_alerts(context) == []
    assert 'No alert is open.' in run_alert(context, 'list')


@then('the morning report names "{text}"')
def check_morning(context, text):
    """Run explain and check the alert section of its report."""
    url = context.system.platform_url('')
    process = context.system.start_process(
        'explain',
        'oleanderknot',
        'explain',
        '--since',
        '12h',
        '--objects',
        url,
        '--table',
        url,
    )
    assert process.wait() == 0, process.read_log()
    report = ' '.join(process.read_log().partition('Open alerts')[2].split())
    assert text in report, report


@given('orders are watched with a limit of {limit:d} s')
def build_watch(context, limit):
    """Build the monitor of refused orders."""
    context.watch = decisions.OrderRefusalMonitor(limit_s=limit)
    context.due = []


@when('orders are refused at {times} s')
def note_refusals(context, times):
    """Record refusals at the given clock times."""
    for moment in times.split(', '):
        context.watch.note_refusal(1000.0 + float(moment))
        context.due.append(context.watch.check())


@then('no alert about orders is due')
def check_not_due(context):
    """Check that no evaluation requested an alert."""
    assert not any(context.due), context.due


@then('an alert about orders is due once')
def check_due(context):
    """Check that exactly one evaluation requested an alert."""
    assert sum(context.due) == 1, context.due


@given('members')
def build_members(context):
    """Build membership records."""
    context.members = [
        model.Member(
            instance=row['instance'],
            incarnation=1,
            version=1,
            state=model.MemberState[row['state'].upper()],
            data_centre=row['data centre'],
            host='127.0.0.1',
            peer_port=1,
        )
        for row in context.table
    ]


@then('"{names}" speak for "{centre}"')
def check_reporters(context, names, centre):
    """Check which nodes raise alerts for their data centre."""
    found = [
        item.instance
        for item in context.members
        if item.data_centre == centre
        and item.state is not model.MemberState.DEAD
        and decisions.is_reporter(
            context.members,
            model.NodeIdentity(
                instance=item.instance, incarnation=1, data_centre=centre
            ),
        )
    ]
    assert found == names.split(', '), found


@then('"{names}" counts as out of reach for "{centre}"')
def check_dark(context, names, centre):
    """Check which data centres have no live member."""
    assert decisions.find_dead_data_centres(context.members, centre) == {names}


def build_alert(instance):
    """Build an alert that two nodes raise."""
    return model.Alert(
        id='objects-out.dc1.1',
        kind=model.AlertKind.OBJECTS_OUT,
        subject='dc1',
        by=instance,
        data_centre='dc1',
        at=1000.0,
    )


def attempt(context, count):
    """Make attempts to deliver the alert; return the number of posts."""

    async def deliver():
        for _ in range(count):
            await context.alerts.try_deliver(build_alert('b').id)

    context.loop.run_until_complete(deliver())
    return context.alerts.post.await_count


def build_alerts(context, name):
    """Build the alerts of a node with a table that is a mock."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.alert_table = mock.Mock()
    context.alert_table.commit = mock.AsyncMock(return_value=Ok(None))

    async def build():
        context.alerts = alerts.Alerts(
            identity=model.NodeIdentity(
                instance=name, incarnation=1, data_centre='dc1'
            ),
            settings=border.AlertSettings(webhook_url='http://127.0.0.1:1/'),
            table=context.alert_table,
            count=lambda counter: None,
            draw=lambda: 0.0,
        )

    context.loop.run_until_complete(build())
    context.add_cleanup(
        lambda: context.loop.run_until_complete(context.alerts.close())
    )
    context.alerts.post = mock.AsyncMock(return_value=False)
    context.alerts.pending['objects-out.dc1.1'] = build_alert(name)


def build_row(name, posted=False):
    """Build the row of the alert as a node has stored it."""
    return model.TableRow(
        key='alert/objects-out.dc1.1',
        version=7,
        value=border.dump_alert(
            dataclasses.replace(build_alert(name), posted=posted)
        ),
    )


@given(
    'an alert of node "{name}" that could not be stored in {count:d} attempts'
)
def build_unstored(context, name, count):
    """Let a node try to deliver an alert while table and webhook are away."""
    build_alerts(context, name)
    context.alert_table.read = mock.AsyncMock(
        return_value=Error(
            model.PlatformFault(
                kind=model.FaultKind.NOT_SENT, detail='the table is away'
            )
        )
    )
    attempt(context, count)


@given('an alert of node "{name}" that it has stored itself')
def build_stored(context, name):
    """Build the alerts of a node that has not posted its alert yet."""
    build_alerts(context, name)
    context.row = build_row(name)
    context.alerts.post = mock.AsyncMock(return_value=True)


@when(
    'node "b" is halted for {span:g} s before its post, and node "{name}" '
    'posts it'
)
def halt(context, span, name):
    """Let the time pass between the first read of the row and the post."""
    clock = mock.Mock(return_value=0.0)
    patch = mock.patch.object(alerts.time, 'monotonic', clock)
    patch.start()
    context.add_cleanup(patch.stop)

    async def read(keys):
        if clock.return_value:
            return Ok([build_row(name, posted=True)])
        clock.return_value = span
        return Ok([context.row])

    context.alert_table.read = read


@when('node "{name}" has stored the same alert')
def store_alert(context, name):
    """Let the table answer with the row of another node."""
    context.alert_table.read = mock.AsyncMock(
        return_value=Ok([build_row(name)])
    )
    context.alerts.post = mock.AsyncMock(return_value=True)


@then('node "b" does not post it in {count:d} more attempts')
def check_not_posted(context, count):
    """Check that the alert is left to the other node."""
    assert attempt(context, count) == 0


@then('node "b" posts it in the next one')
def check_posted(context):
    """Check that the other node is not waited for without end."""
    assert attempt(context, 1) == 1
