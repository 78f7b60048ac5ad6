"""Steps in which back ends leave while their nodes restart."""

import contextlib
import http.client
import time

from behave import then
from behave import when

from features.support import wait


@when('the back end of "{name}" deregisters')
def deregister(context, name):
    """Deregister a back end, which goes on serving."""
    assert context.fleet.query_backend(name, '/-/deregister') == 200


@when('a late heartbeat of the back end of "{name}" arrives')
def send_late_heartbeat(context, name):
    """Send a heartbeat from before the departure once the node listens."""

    def is_sent():
        status = context.fleet.query_backend(name, '/-/report?state=ready')
        return isinstance(status, int)

    wait.wait_until(is_sent, 'the heartbeat ingress of %s listens' % name)


@when('the back end of "{name}" is killed and started')
def restart_backend(context, name):
    """Start a back end again under its id."""
    item = context.fleet.sidecars[name]
    item.backend.kill()
    context.fleet.restart_backend(item)


@when(
    'the back end of "{name}" is killed and started with a clock '
    '{ahead_s:d} s ahead'
)
def restart_backend_ahead(context, name, ahead_s):
    """Start a back end again on an instance whose clock is wrong."""
    item = context.fleet.sidecars[name]
    item.backend.kill()
    context.fleet.restart_backend(item, '--clock-ahead-s', str(ahead_s))


@when(
    'the back end of "{name}" says that it drains until that is acknowledged'
)
def drain_until_acknowledged(context, name):
    """Report the state in each heartbeat until one is acknowledged."""
    wait.wait_until(
        lambda: (
            context.fleet.query_backend(name, '/-/state?value=draining') == 200
        ),
        'the node of %s acknowledges the departure' % name,
    )


@then('the store has a departure of "{name}"')
def check_departure_row(context, name):
    """Wait until the departure is in the store."""
    wait.wait_until(
        lambda: name in context.fleet.list_rows('departures'),
        'departure of %s' % name,
    )


@then(
    'no request of "{name}" for "{target}" is served for {duration_s:f} '
    'seconds'
)
def check_none_served(context, name, target, duration_s):
    """Send requests one after the other; none of them may be served."""
    statuses = []
    end = time.monotonic() + duration_s
    while time.monotonic() < end:
        with contextlib.suppress(OSError, http.client.HTTPException):
            statuses.append(context.fleet.send(name, target)[0])
        time.sleep(0.02)
    assert statuses and 200 not in statuses, (len(statuses), set(statuses))


@then(
    'no request of "{name}" for "{target}" is served for {duration_s:f} '
    'seconds after "{other}" logs "{event}"'
)
def check_none_served_after(context, name, target, duration_s, other, event):
    """Wait for a line of the log before the requests; see above."""
    item = context.fleet.sidecars[other]
    wait.wait_until(
        lambda: '"%s"' % event in item.process.read_log(),
        '%s logs %s' % (other, event),
    )
    check_none_served(context, name, target, duration_s)
