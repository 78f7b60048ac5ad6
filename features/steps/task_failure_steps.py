"""Steps about tasks that fail and rows that are malformed."""

import asyncio
import base64
import collections
import time

from behave import given
from behave import then
from behave import when

from features.support import http
from oleanderknot.tasks import supervisor


@given('a supervised task that {fault:w} at each of its first {count:d} runs')
def run_failing_task(context, fault, count):
    """Run a task that ends early a few times, and cancel it later."""
    context.counts = collections.Counter()
    context.runs = 0
    started = asyncio.Event()

    async def run():
        context.runs += 1
        if context.runs > count:
            started.set()
            await asyncio.Event().wait()
        if fault == 'raises':
            raise ValueError('unexpected')

    def count_event(name):
        context.counts[name] += 1

    async def play():
        task = asyncio.create_task(
            supervisor.supervise('test', run, count_event)
        )
        await asyncio.wait_for(started.wait(), 10)
        task.cancel()
        await asyncio.wait((task,), timeout=10)
        context.cancelled = task.cancelled()

    asyncio.run(play())


@then('it runs a fourth time and {count:d} restarts are counted')
def check_restarts(context, count):
    """Check runs and counted restarts."""
    assert context.runs == count + 1, context.runs
    assert dict(context.counts) == {'task.restarted': count}


@then('it ends when it is cancelled')
def check_cancelled_task(context):
    """Check that the supervision does not outlive a cancellation."""
    assert context.cancelled


@given('the row "{key}" of "{table}" holds the bytes "{text}"')
def put_row(context, key, table, text):
    """Write a row that names no valid node or policy."""
    value = base64.b64encode(text.encode('latin-1')).decode()
    http.post_json(
        context.fleet.store_url('/-/put'),
        {'table': table, 'key': key, 'value': value},
    )


@when('the policy is put after {delay_s:d} s')
def put_policy_later(context, delay_s):
    """Write a valid policy once the node has read what was there."""
    time.sleep(delay_s)
    context.fleet.version = 1
    context.fleet.put_policy()


@then('a client of "{name}" is served "{target}"')
def check_service(context, name, target):
    """Wait until a request is answered."""
    context.fleet.wait_for_service(name, target)


@then('the process of "{name}" is running')
def check_running(context, name):
    """Check that a node has not ended."""
    assert context.fleet.sidecars[name].process.is_running()


@when('"{name}" is stopped and started again')
def restart_node(context, name):
    """Stop a node and start it again beside the same back end."""
    item = context.fleet.sidecars[name]
    item.process.terminate()
    item.process.wait()
    context.fleet.restart(item)
    context.fleet.wait_for_service(name, '/page/ready')
    time.sleep(0.5)


@when('the back end of "{name}" leaves and "{other}" is stopped')
def remove_instance(context, name, other):
    """Let an instance go away."""
    item = context.fleet.sidecars[name]
    http.get_json('http://%s/-/state?value=draining' % item.backend_address)
    item.process.terminate()
    item.process.wait()


@then('the store got {count:d} transactions')
def check_transactions(context, count):
    """Check the number of transactions since the start."""
    calls = http.get_json(context.fleet.store_url('/-/counts'))
    assert calls.get('/v1/rows-tx', 0) == count, calls
