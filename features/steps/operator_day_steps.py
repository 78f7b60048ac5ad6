"""Steps for an operator who uses only the command line."""

import pathlib
import signal
import subprocess
import sys

from behave import given
from behave import then
from behave import when

from features.support import http as http_support

EXAMPLE = pathlib.Path('docs/examples/ticket.yaml')
COMMAND_LIMIT_S = 30


@given('an empty system of "{first}" and "{second}" with its platform')
def start_empty(context, first, second):
    """Start a platform without rows and a chain of two services."""
    system = context.system
    system.start_platform()
    with system.defer_waits():
        for name, calls in ((first, ['--calls', second]), (second, [])):
            node = system.start_node(name)
            system.start_upstream(node, name, '--warm', *calls)
    for name in (first, second):
        system.wait_for_members(name, 1)
    node = system.nodes[first]
    context.words = {
        'SETTINGS': str(system.folder / (first + '.yaml')),
        'TICKET': str(EXAMPLE),
        'PLATFORM': system.platform_url(''),
        'NODE': '127.0.0.1:%d' % node.operator_port,
    }


def run_command(context, text):
    """Run the command line and record its result."""
    words = [context.words.get(word, word) for word in text.split()]
    context.command = subprocess.run(
        [sys.executable, '-m', 'oleanderknot', *words],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        stdin=subprocess.DEVNULL,
        text=True,
        timeout=COMMAND_LIMIT_S,
    )
    return context.command.returncode


@when('the operator runs "{text}"')
def run_once(context, text):
    """Run a command."""
    run_command(context, text)


@when('the operator waits until "{text}" ends with 0')
def run_until(context, text):
    """Run a command until it succeeds."""
    context.system.wait_for(
        lambda: run_command(context, text) == 0, '%s succeeds' % text
    )


@then('the command ends with {status:d} and says "{words}"')
@then('the command ends with {status:d} and says ""')
def check_command(context, status, words=''):
    """Check exit status and output, whatever the line breaks."""
    done = context.command
    assert done.returncode == status, (done.args, done.stdout)
    assert words in ' '.join(done.stdout.split()), (done.args, done.stdout)


@when('{count:d} customers ask for "{path}"')
def browse(context, count, path):
    """Send requests that must all be answered."""
    node = next(iter(context.system.nodes.values()))
    for _ in range(count):
        status, _, body = http_support.request('GET', node.caller_url(path))
        assert status == 200, (status, body)


@when('all nodes are told to stop and have ended')
def stop_all(context):
    """Stop the nodes as planned, which writes their last reports."""
    for node in context.system.nodes.values():
        node.process.send_signal(signal.SIGTERM)
    for node in context.system.nodes.values():
        assert node.process.wait() == 0, node.name
