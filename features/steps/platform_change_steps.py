"""Steps that change heartbeats, policies and processes on a platform."""

import http.client
import signal
import time

from behave import then
from behave import when
import yaml

from features.support import http as plain_http
from features.support import wait


@when('the back end of "{name}" says "{state}"')
def change_state(context, name, state):
    """Let a back end report a state; the heartbeat is acknowledged."""
    status = context.fleet.query_backend(name, '/-/state?value=' + state)
    assert status == 200, status


@when('the back end of "{name}" sends a heartbeat with {field:w} {value}')
def send_heartbeat(context, name, field, value):
    """Send one heartbeat that differs from the usual ones."""
    context.fleet.query_backend(name, '/-/report?%s=%s' % (field, value))


@then('"{name}" serves "{target}" again')
def check_served(context, name, target):
    """Wait until requests are served."""
    context.fleet.wait_for_service(name, target)


@when('the operator\'s document is "{text}"')
def put_invalid_policy(context, text):
    """Put an invalid policy document and wait until all nodes have read it."""
    context.fleet.put_policy_document(text)
    for item in context.fleet.sidecars.values():
        wait.wait_until(
            lambda item=item: 'is not valid' in item.process.read_log(),
            '%s sees the document' % item.name,
        )


@when('the route "{name}" with prefix "{prefix}" for "{service}" is added')
def add_route(context, name, prefix, service):
    """Put a new policy version with an additional route."""
    context.fleet.routes[name] = {'prefix': prefix, 'service': service}
    context.fleet.put_policy()


@when("the operator's document is an older version without routes")
def put_older_policy(context):
    """Put a policy with a lower version, then an invalid one.

    Nodes log the invalid one, which shows that they have read both.
    """
    context.fleet.put_policy_document('{"version": 0, "resources": []}')
    put_invalid_policy(context, '{')


@when('the store forgets its history')
def drop_history(context):
    """Make the store drop its history."""
    context.fleet.set_faults(forget=True)


@when('the store never answers the polls in progress')
def lose_polls(context):
    """Leave the long polls in progress without a response."""
    context.fleet.set_faults(lose_polls=True)


@when('{duration_s:f} seconds pass')
def let_time_pass(context, duration_s):
    """Wait for a fixed time."""
    time.sleep(duration_s)


@when('the store has the faults "{name}"')
def set_fault(context, name):
    """Set a fault of the store."""
    context.fleet.set_faults(**{name: True})


@when('the node of "{name}" is killed and started')
def restart(context, name):
    """Kill a node and start it again."""
    item = context.fleet.sidecars[name]
    item.process.kill()
    context.fleet.restart(item)


@when('the node of "{name}" is killed')
def kill(context, name):
    """Kill a node without starting it again."""
    context.fleet.sidecars[name].process.kill()


@when('"{name}" logs that "{other}" is dead')
def wait_for_death(context, name, other):
    """Wait until a node believes another one dead."""
    item = context.fleet.sidecars[name]
    wait.wait_until(
        lambda: '"%s is dead"' % other in item.process.read_log(),
        '%s is dead at %s' % (other, name),
    )


@when('the node of "{name}" is started with a clock {behind_s:d} s behind')
def start_behind(context, name, behind_s):
    """Start a node whose time of day has been set back."""
    context.fleet.restart_shifted(context.fleet.sidecars[name], -behind_s)


@when('the node of "{name}" is started with a clock {ahead_s:d} s ahead')
def start_ahead(context, name, ahead_s):
    """Start a node whose time of day is wrong by a number of seconds."""
    context.fleet.restart_shifted(context.fleet.sidecars[name], ahead_s)


@when('the nodes "{first}" and "{second}" are killed and started')
def restart_two(context, first, second):
    """Kill two nodes before either is started again."""
    items = [context.fleet.sidecars[name] for name in (first, second)]
    for item in items:
        item.process.kill()
    for item in items:
        context.fleet.restart(item)


@when('"{first}" and "{second}" have started again')
def wait_for_starts(context, first, second):
    """Wait until the new processes have logged their start."""
    for name in (first, second):
        item = context.fleet.sidecars[name]
        wait.wait_until(
            lambda item=item: '"started"' in item.process.read_log(),
            '%s starts' % name,
        )


@then('"{name}" serves "{target}" within {limit_s:d} seconds')
def check_served_soon(context, name, target, limit_s):
    """Wait until a request is served, and check how long it took."""
    started = time.monotonic()
    context.fleet.wait_for_service(name, target)
    took_s = time.monotonic() - started
    assert took_s <= limit_s, 'served after %.1f s' % took_s


@then('the node of "{name}" answers 503 and never 404 until it is ready')
def check_restart(context, name):
    """Send requests until one is served; all others must be refused."""
    statuses = []

    def served():
        try:
            statuses.append(context.fleet.send(name, '/page/1')[0])
        except (OSError, http.client.HTTPException):
            return False
        return statuses[-1] == 200

    wait.wait_until(served, '%s serves again' % name)
    assert set(statuses) <= {200, 503}, statuses


@when('the node of "{name}" gets SIGTERM')
def terminate(context, name):
    """Send SIGTERM to a node."""
    context.signalled_at = time.monotonic()
    context.fleet.sidecars[name].process.send_signal(signal.SIGTERM)


def ask_readiness(context, name):
    """Return the HTTP status of a node's readiness endpoint."""
    host, port = context.fleet.sidecars[name].readiness.split(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    try:
        connection.request('GET', '/v1/readiness')
        return connection.getresponse().status
    finally:
        connection.close()


@when(
    'the node of "{name}" is killed and gets {signal_name:w} while it starts'
)
def signal_while_starting(context, name, signal_name):
    """Send a signal between the first instructions and the start."""
    number = signal.Signals[signal_name]
    item = context.fleet.sidecars[name]
    item.process.kill()
    context.fleet.restart(item)

    def is_caught():
        caught = item.process.read_status('SigCgt')
        return int(caught, 16) >> (number - 1) & 1

    wait.wait_until(is_caught, '%s is caught' % signal_name)
    assert '"started"' not in item.process.read_log()
    item.process.send_signal(number)


@then('readiness of "{name}" is refused')
def check_unready(context, name):
    """Wait until the readiness endpoint of a node answers 503."""
    wait.wait_until(
        lambda: ask_readiness(context, name) == 503, 'readiness ends'
    )


@then('the waiting client gets status {status:d}')
def check_waiting(context, status):
    """Wait for the answer to the request in the background."""
    context.sender.join(20)
    assert context.answer[0] == status, context.answer


@then('the node of "{name}" exits with status {status:d}')
def check_exit(context, name, status):
    """Wait for the end of a node."""
    started = time.monotonic()
    found = context.fleet.sidecars[name].process.wait()
    assert found == status, found
    assert time.monotonic() - started < 6.0


@when(
    'the settings of "{name}" change to {lines:d} lines a second and it '
    'gets SIGHUP'
)
def change_settings(context, name, lines):
    """Change a settings file and signal the node."""
    path = context.system.folder / (name + '.yaml')
    content = yaml.safe_load(path.read_text())
    content['log'] = {'refusals_per_s': lines}
    path.write_text(yaml.safe_dump(content))
    context.fleet.sidecars[name].process.send_signal(signal.SIGHUP)


@then('"{name}" logs "{text}"')
def check_log(context, name, text):
    """Wait until a node's log contains the quoted text."""
    wait.wait_until(
        lambda: (
            '"%s"' % text in context.fleet.sidecars[name].process.read_log()
        ),
        '%s logs %s' % (name, text),
    )


@then('the metrics of "{name}" hold "{text}"')
def check_metrics(context, name, text):
    """Check the text of the metrics endpoint."""
    address = context.fleet.sidecars[name].metrics
    status, _, content = plain_http.request(
        'GET', 'http://%s/metrics' % address
    )
    assert status == 200, status
    assert text in content.decode(), content.decode()[:3000]
