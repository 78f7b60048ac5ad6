"""Steps that put entries that no correct writer would write."""

import base64
import http.client
import json

from behave import then
from behave import when

from features.support import http as plain_http
from features.support import wait
from oleanderknot.platform import object_client
from oleanderknot.platform import row_store_client
from oleanderknot.platform import table_client

# Deeper than parsers with one stack frame a level can go.
NESTED = '[' * 100000 + ']' * 100000


@when('the heartbeats of "{name}" get odd bodies')
def send_odd_heartbeats(context, name):
    """Send heartbeats with one field replaced by raw JSON."""
    item = context.fleet.sidecars[name]
    for number, row in enumerate(context.table):
        field, _, value = row['change'].partition(': ')
        fields = {
            '"service"': json.dumps(item.service),
            '"address"': json.dumps(item.backend_address),
            '"state"': '"ready"',
            '"slots"': '50',
            '"sequence"': str(10000 + number),
            field: value.replace('NESTED', NESTED),
        }
        body = ', '.join('%s: %s' % pair for pair in fields.items())
        host, port = item.heartbeats.split(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request(
            'POST', '/v1/instances/i-%s/heartbeat' % name, '{%s}' % body
        )
        assert connection.getresponse().status in (200, 400), row['change']
        connection.close()


@when('odd rows of nodes are put')
def put_odd_rows(context):
    """Write rows as another writer would."""
    for row in context.table:
        value = row['value'].replace('NESTED', NESTED).encode()
        if value == b'BYTES':
            value = bytes(range(256))
        put_row(context, 'nodes', row['key'], value)


def put_row(context, table, key, value):
    """Write one row."""
    plain_http.post_json(
        context.fleet.store_url('/-/put'),
        {
            'table': table,
            'key': key,
            'value': base64.b64encode(value).decode(),
        },
    )


@when('the instance "{name}" joins with a back end of "{service}"')
def join_instance(context, name, service):
    """Start a further instance."""
    context.fleet.start(name, service)


@when('odd policies are put')
def put_odd_policies(context):
    """Write policy documents, and wait until the nodes have seen the last."""
    for row in context.table:
        word, _, value = row['document'].partition(' ')
        if word == 'TIMEOUT':
            document = build_policy({'timeout': json.dumps(value)})
        elif word == 'ATTEMPTS':
            document = build_policy({'maxAttempts': value})
        else:
            document = row['document'].replace('NESTED', NESTED)
        put_row(context, 'op', 'config', document.encode())
    put_row(context, 'op', 'config', b'the last one')
    for item in context.fleet.sidecars.values():
        wait.wait_until(
            lambda item=item: 'is not valid' in item.process.read_log(),
            '%s sees the documents' % item.name,
        )


def build_policy(changes):
    """Build a document of version 1000 without routes but an odd one."""
    fields = {
        'host': '"shop.example"',
        'prefix': '"/odd/"',
        'kind': '"safe"',
        'timeout': '"1s"',
        'service': '"orders"',
        **changes,
    }
    specification = ', '.join('"%s": %s' % pair for pair in fields.items())
    return (
        '{"version": 1000, "resources": [{"resourceType": "routes",'
        ' "metadata": {"name": "odd"}, "specification": {%s}}]}'
        % specification
    )


@then('no task of "{first}" or "{second}" was restarted')
def check_tasks(context, first, second):
    """Check the logs for tasks that failed."""
    for name in (first, second):
        text = context.fleet.sidecars[name].process.read_log()
        assert 'is started again' not in text, text[-2000:]
        assert 'Traceback' not in text, text[-2000:]


@when('the {service} responds "{body}"')
def parse_response(context, service, body):
    """Parse a response of a service."""
    parse = {
        'table service': table_client.parse_rows,
        'object store': object_client.parse_keys,
        'row store': row_store_client.parse_rows,
    }[service]
    context.result = parse(body.replace('NESTED', NESTED).encode())


@then('it is a fault')
def check_fault(context):
    """Check that the response was not accepted."""
    assert context.result.is_error()
