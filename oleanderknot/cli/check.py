"""The command that checks a settings file."""

import dataclasses
import json
import pathlib
import sys

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option

from oleanderknot import border


class CheckCommand(command.Command):
    """Names all mistakes of a settings file at once."""

    name = 'check'
    description = 'Check a settings file and name all its mistakes'
    arguments = [argument('settings', description='YAML settings file')]
    options = [
        option(
            'output', description='text or json', flag=False, default='text'
        )
    ]
    help = """Names every mistake of a settings file with line and field, \
what was found and what is allowed.
The exit code is 0 when there is none and 2 when there is one.

Example:

    oleanderknot check node.yaml"""

    def handle(self) -> int:
        """Run the command."""
        mistakes = []
        try:
            border.load_settings(pathlib.Path(self.argument('settings')))
        except border.InvalidFileError as error:
            mistakes = error.diagnostics
        if self.option('output') == 'json':
            print(json.dumps([dataclasses.asdict(item) for item in mistakes]))
        elif mistakes:
            for item in mistakes:
                print(item, file=sys.stderr)
        else:
            print('%s: no mistakes' % self.argument('settings'))
        return 2 if mistakes else 0
