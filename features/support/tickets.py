"""Ticket files and command-line invocations for tests."""

import json
import pathlib
import subprocess
import sys
import time
import uuid

import yaml

from oleanderknot import border
from oleanderknot import model

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
EXAMPLE = ROOT / 'docs' / 'examples' / 'ticket.yaml'
COMMAND_TIMEOUT_S = 60


def run_command(
    *arguments: str, text: str = ''
) -> subprocess.CompletedProcess:
    """Run an oleanderknot command and wait for it to exit.

    Args:
        arguments: Arguments of the command line.
        text: Standard input.

    Returns:
        The exit code and the output as text.
    """
    return subprocess.run(
        [sys.executable, '-m', 'oleanderknot', *arguments],
        input=text,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )


def start_command(*arguments: str) -> subprocess.Popen:
    """Start an oleanderknot command without waiting for it to exit."""
    return subprocess.Popen(
        [sys.executable, '-m', 'oleanderknot', *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_for_prompt(command: subprocess.Popen) -> None:
    """Wait until a command prompts for confirmation.

    Raises:
        AssertionError: The command exited without prompting.
    """
    shown = ''
    while '(yes/no)' not in shown:
        part = command.stderr.read(1)
        assert part, shown
        shown += part


def write_ticket(
    path: pathlib.Path, *, author: str = 'Carys', **scopes: object
) -> pathlib.Path:
    """Write a ticket file.

    Args:
        path: File to write.
        author: Author of the ticket.
        scopes: State by scope.

    Returns:
        The path.
    """
    content = {'author': author, 'reason': 'a test', 'scopes': scopes}
    path.write_text(yaml.safe_dump(content))
    return path


def build_service_state(
    *, deadline_ms: int = 5000, retries: int = 2
) -> dict[str, object]:
    """Build the state of a service with a single catch-all route."""
    return {
        'routes': [
            {
                'method': '*',
                'prefix': '/',
                'class': 'browsing',
                'idempotent': True,
                'deadline_ms': deadline_ms,
                'retries': retries,
            }
        ]
    }


def build_draft(services: list[str]) -> model.Ticket:
    """Build an unnumbered ticket that sets policies of services."""
    return model.Ticket(
        number=0,
        id=uuid.uuid4().hex,
        author='Carys',
        reason='a test',
        filed_at=time.time(),
        scopes=tuple(
            model.ScopeState(
                scope='service/' + service,
                number=0,
                policy=border.parse_policy(
                    'service/' + service, build_service_state()
                ),
            )
            for service in services
        ),
    )


def file_ticket(table_url: str, path: pathlib.Path) -> dict[str, object]:
    """File a ticket and return the command's JSON answer.

    Raises:
        AssertionError: The ticket was not filed.
    """
    result = run_command(
        *('ticket', 'file', str(path), '--yes', '--output', 'json'),
        *('--table', table_url),
    )
    assert result.returncode == 0, result.stderr
    return json.loads(result.stdout)
