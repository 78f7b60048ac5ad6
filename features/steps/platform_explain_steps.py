"""Steps that test the command that explains a request from log files."""

import subprocess
import sys

from behave import given
from behave import then

from features.support import wait


def run_trace(request, paths):
    """Run the trace command on log files."""
    return subprocess.run(
        [sys.executable, '-m', 'oleanderknot', 'trace', request, *paths],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@then('the command "trace" reports "{request}" from the logs of all nodes')
def check_reported(context, request):
    """Wait until each row has a line of its node with all its words."""
    paths = [
        str(item.process.log_path) for item in context.fleet.sidecars.values()
    ]

    def is_reported(row, output):
        return any(
            ' %s: ' % row['node'] in line
            and all(word.strip() in line for word in row['words'].split(','))
            for line in output.splitlines()
        )

    wait.wait_until(
        lambda: all(
            is_reported(row, run_trace(request, paths).stdout)
            for row in context.table
        ),
        'the command reports %s' % request,
    )


@given('a log file with the lines')
def write_log(context):
    """Write a log file."""
    path = context.system.folder / 'node.log'
    path.write_text(context.text)
    context.log_path = str(path)


@then('the command "trace" finds nothing about "{request}" and says "{words}"')
def check_not_found(context, request, words):
    """Check the status and the message."""
    done = run_trace(request, [context.log_path])
    assert done.returncode == 1, done
    assert words in done.stderr, done.stderr


@then('the command "trace" says of "{request}" in this order')
def check_order(context, request):
    """Check the lines about a request and their order."""
    done = run_trace(request, [context.log_path])
    assert done.returncode == 0, done
    places = [done.stdout.find(row['words']) for row in context.table]
    assert -1 not in places, done.stdout
    assert places == sorted(places), done.stdout
