"""The ``check`` command."""

import dataclasses
import json
import pathlib
import sys

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option

from oleanderknot import border


class CheckCommand(command.Command):
    """Validates a settings file and reports all errors at once."""

    name = 'check'
    description = 'Check a settings file and report all its errors'
    arguments = [argument('settings', description='YAML settings file')]
    options = [
        option(
            'output', description='text or json', flag=False, default='text'
        )
    ]
    help = """Reports every error in a settings file with its line and field, \
the value found and the values allowed.
The exit code is 0 if the file is valid and 2 if it has errors.

Example:

    oleanderknot check node.yaml"""

    def handle(self) -> int:
        """Run the command."""
        diagnostics = []
        try:
            border.load_settings(pathlib.Path(self.argument('settings')))
        except border.InvalidFileError as error:
            diagnostics = error.diagnostics
        if self.option('output') == 'json':
            print(
                json.dumps([dataclasses.asdict(item) for item in diagnostics])
            )
        elif diagnostics:
            for item in diagnostics:
                print(item, file=sys.stderr)
        else:
            print('%s: no mistakes' % self.argument('settings'))
        return 2 if diagnostics else 0
