"""Steps for TLS between nodes and the operators' token."""

import json
import os
import socket
import ssl
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.support import certificates
from features.support import http
from oleanderknot import wire

HELLO = wire.encode(
    wire.Frame(
        session=7,
        call=0,
        hello=wire.Hello(
            protocol=1,
            session=7,
            instance='stranger',
            incarnation=1,
            data_centre='dc1',
            target_instance='',
            target_incarnation=0,
        ),
    )
)


@given('an authority "{name}" and nodes with its certificates')
def start_authority(context, name):
    """Create a certificate authority; nodes started later use it."""
    authority = certificates.CertificateAuthority(
        name=name, folder=context.system.folder
    )
    context.system.extra_settings['tls'] = authority.issue()


def build_stranger(context, proof):
    """Return the TLS context of an untrusted peer."""
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    tls.check_hostname = False
    tls.verify_mode = ssl.CERT_NONE
    if proof.startswith('a certificate'):
        authority = certificates.CertificateAuthority(
            name='strangers', folder=context.system.folder
        )
        files = authority.issue()
        tls.load_cert_chain(files['certificate'], files['key'])
    return tls


@when('a peer with {proof} greets node "{name}"')
def greet(context, proof, name):
    """Send the first message of the protocol and read the response."""
    node = context.system.nodes[name]
    address = (node.host, node.peer_port)
    context.received = b''
    with socket.create_connection(address, timeout=10) as plain:
        sock = plain
        try:
            if proof != 'plain TCP':
                sock = build_stranger(context, proof).wrap_socket(plain)
            sock.sendall(HELLO)
            context.received = sock.recv(100)
        except (ssl.SSLError, ConnectionError):
            pass
        finally:
            sock.close()


@then('it gets no answer')
def check_refused(context):
    """Check that the node closed the connection without a message."""
    assert context.received == b'', context.received


@when('a node "{name}" is started')
def start_stranger(context, name):
    """Start a node."""
    context.system.start_node(name)


@then('node "{name}" does not learn of "{service}" while it tries')
def check_stranger(context, name, service):
    """Wait until the other node has rejected it several times."""
    node = context.system.nodes[name]
    context.system.wait_for(
        lambda: (
            http.get_json(node.status_url())['counters'].get(
                'peer.tls_failed', 0
            )
            >= 5
        ),
        'the stranger is turned away',
    )
    status = http.get_json(node.status_url())
    assert [item['instance'] for item in status['members']] == [name], status
    assert status['connections'] == [], status


@given('a node "{name}" with the operators\' token "{token}"')
def start_guarded(context, name, token):
    """Start a node whose status needs a token."""
    context.token = token
    with mock.patch.object(http, 'get_json', build_get(token)):
        context.system.start_node(name, operator_token=token)


def build_get(token):
    """Return a function that gets JSON with the token."""
    headers = {'Authorization': 'Bearer ' + token}
    return lambda url: json.loads(http.request('GET', url, headers=headers)[2])


@then('the status of "{name}" with header "{header}" has status {status:d}')
def check_token(context, name, header, status):
    """Request the status with an authorization header."""
    headers = {} if header == 'none' else {'Authorization': header}
    url = context.system.nodes[name].status_url()
    found, answer, body = http.request('GET', url, headers=headers)
    assert found == status, found
    if status == 401:
        assert answer['www-authenticate'] == 'Bearer', answer
        assert b'instance' not in body, body


def run_status(context, token, *arguments):
    """Run the status command with or without a token."""
    (node,) = context.system.nodes.values()
    variables = {'OLEANDERKNOT_OPERATOR_TOKEN': token}
    with mock.patch.dict(os.environ, variables):
        process = context.system.start_process(
            'status',
            'oleanderknot',
            'status',
            '--node',
            '127.0.0.1:%d' % node.operator_port,
            *arguments,
        )
    return process.wait(), process.read_log()


@then(
    'the command status without the token ends with 1 and names the variable'
)
def check_status_refused(context):
    """Check the message of a refused command."""
    code, output = run_status(context, '')
    assert code == 1, output
    assert 'OLEANDERKNOT_OPERATOR_TOKEN' in output, output


@then(
    'the command status with the token shows node "{name}" as table and JSON'
)
def check_status(context, name):
    """Check both forms of the output."""
    code, output = run_status(context, context.token)
    assert code == 0, output
    rows = [line.split() for line in output.splitlines()]
    assert ['instance', name] in rows, output
    assert ['member', 'data', 'centre', 'service', 'state', 'operators'] in (
        rows
    ), output
    code, output = run_status(context, context.token, '--output', 'json')
    assert code == 0, output
    assert json.loads(output)['instance'] == name, output
