"""Steps that test API keys of organisations."""

import http.client
import threading
import time

from behave import given
from behave import then
from behave import when

from features.support import http as plain_http
from features.support import wait

# Bound on the time until a withdrawn key is refused everywhere.
REVOCATION_S = 5.0


@given('the route "{name}" allows anonymous requests')
def allow_anonymous(context, name):
    """Mark a route as one that needs no key."""
    context.fleet.routes[name]['allowAnonymous'] = True


@given('the organisations')
def set_organisations(context):
    """Set the organisations of the policy."""
    for row in context.table:
        context.fleet.organisations[row['name']] = {
            'apiKeys': row['keys'].split(','),
            'priority': 1,
        }


@given('clients hold the key "{key}"')
def set_client_key(context, key):
    """Set the key that all client requests carry."""
    context.fleet.client_headers['Authorization'] = 'Bearer ' + key


@given('a client of "{name}" has {method} "{target}" run as "{request_id}"')
def send_in_background(context, name, method, target, request_id):
    """Send a request and wait until an upstream runs it."""
    sender = threading.Thread(
        target=context.fleet.send,
        args=(name, target),
        kwargs={'method': method, 'request_id': request_id, 'wait_ms': 8000},
    )
    sender.start()
    context.add_cleanup(sender.join)
    wait.wait_until(
        lambda: any(
            run['id'] == request_id for run in context.fleet.list_runs()
        ),
        '%s runs' % request_id,
    )


@when(
    'a client of "{name}" without a key at {address} sends {method} '
    '"{target}" as "{request_id}"'
)
def send_without_key(context, name, address, method, target, request_id):
    """Send a request without credentials from a loopback address."""
    host, port = context.fleet.sidecars[name].requests.split(':')
    connection = http.client.HTTPConnection(
        host, int(port), timeout=10, source_address=(address, 0)
    )
    connection.request(
        method,
        target,
        headers={
            'Host': 'shop.example',
            'Request-Id': request_id,
            'Deadline-Milliseconds': '2000',
        },
    )
    response = connection.getresponse()
    context.answer = (
        response.status,
        {name.lower(): value for name, value in response.getheaders()},
        response.read(),
    )
    connection.close()


@given('an open connection of a client to "{name}"')
def open_connection(context, name):
    """Open a connection that is kept for several requests."""
    host, port = context.fleet.sidecars[name].requests.split(':')
    context.connection = http.client.HTTPConnection(
        host, int(port), timeout=10
    )


def request_kept(context, target):
    """Send a request on the kept connection and return its status."""
    context.connection.request(
        'GET',
        target,
        headers={
            'Host': 'shop.example',
            'Request-Id': 'kept-%d' % time.monotonic_ns(),
            'Deadline-Milliseconds': '2000',
            **context.fleet.client_headers,
        },
    )
    response = context.connection.getresponse()
    response.read()
    return response.status


@then('its request for "{target}" gets status {status:d}')
def check_kept(context, target, status):
    """Check the status of one request on the kept connection."""
    assert request_kept(context, target) == status


@then('its requests for "{target}" get status {status:d} within 5 s')
def check_kept_soon(context, target, status):
    """Wait until requests on the kept connection get a status."""
    port = context.connection.sock.getsockname()[1]
    deadline = time.monotonic() + REVOCATION_S
    while request_kept(context, target) != status:
        assert time.monotonic() < deadline, 'the key is still accepted'
        time.sleep(0.05)
    assert context.connection.sock.getsockname()[1] == port
    context.connection.close()


@when('the key "{key}" of "{organisation}" is withdrawn')
def withdraw_key(context, key, organisation):
    """Put a policy without a key in force."""
    context.fleet.organisations[organisation]['apiKeys'].remove(key)
    context.fleet.put_policy()


@when('the store has the faults')
def set_store_faults(context):
    """Set faults of the store."""
    context.fleet.set_faults(
        **{row['name']: int(row['value']) for row in context.table}
    )


@when('the node "{name}" is killed and started again')
def restart_node(context, name):
    """Kill a node and start it with the same settings."""
    item = context.fleet.sidecars[name]
    item.process.kill()
    context.fleet.restart(item)
    context.fleet.wait_until_listening(item)


@then('"{name}" refuses "{target}" with status {status:d} and never serves it')
def check_refused(context, name, target, status):
    """Wait for a status, and check that no request was served before."""
    statuses = []

    def refused():
        statuses.append(context.fleet.send(name, target)[0])
        return statuses[-1] == status

    wait.wait_until(refused, '%s refuses with %d' % (name, status))
    assert 200 not in statuses, statuses


@when(
    'the policy also has an unknown entry and an organisation that is not'
    ' valid'
)
def add_unknown_entries(context):
    """Add entries that this version cannot use."""
    context.fleet.other_resources += [
        {'resourceType': 'regions', 'metadata': {}, 'specification': {}},
        {
            'resourceType': 'tenants',
            'metadata': {'name': 'elm'},
            'specification': {'apiKeys': [5]},
        },
    ]


@when('the policy has no organisations')
def drop_organisations(context):
    """Put a policy without organisations in force at all nodes."""
    context.fleet.organisations.clear()
    version = context.fleet.put_policy()
    for item in context.fleet.sidecars.values():
        wait.wait_until(
            lambda item=item: (
                'policy version %d is in force' % version
                in item.process.read_log()
            ),
            'version %d at %s' % (version, item.name),
        )


@then(
    '"{request_id}" ran for the organisation "{organisation}" without'
    ' credentials'
)
def check_no_credentials(context, request_id, organisation):
    """Check what the back end was told about the client."""
    check_run(context, request_id, organisation, '')


@then('"{request_id}" ran for the organisation "" without credentials')
def check_no_organisation(context, request_id):
    """Check that the back end was told nothing about the client."""
    check_run(context, request_id, '', '')


@then(
    '"{request_id}" ran for the organisation "{organisation}" with the'
    ' credentials "{credentials}"'
)
def check_run(context, request_id, organisation, credentials):
    """Check the headers of the only run of a request."""
    runs = [
        run for run in context.fleet.list_runs() if run['id'] == request_id
    ]
    assert len(runs) == 1, runs
    assert runs[0]['organisation'] == organisation, runs
    assert runs[0]['credentials'] == credentials, runs


@then('no output of "{first}" and "{second}" has a key')
def check_outputs(context, first, second):
    """Check the logs and metrics of nodes."""
    keys = [
        key
        for item in context.fleet.organisations.values()
        for key in item['apiKeys']
    ]
    for name in (first, second):
        item = context.fleet.sidecars[name]
        _, _, metrics = plain_http.request(
            'GET', 'http://%s/metrics' % item.metrics
        )
        text = item.process.read_log() + metrics.decode()
        assert 'policy_in_force' in text
        assert not [key for key in keys if key in text]
