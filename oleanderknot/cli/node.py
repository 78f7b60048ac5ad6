"""The command that runs a node."""

import pathlib

from cleo.commands import command
from cleo.helpers import argument

from oleanderknot import border
from oleanderknot.node import serve


class NodeCommand(command.Command):
    """Runs a node until SIGTERM, then drains and stops it."""

    name = 'node'
    description = 'Run a node beside an upstream'
    arguments = [argument('settings', description='YAML settings file')]

    def handle(self) -> int:
        """Run the command."""
        try:
            settings = border.load_settings(
                pathlib.Path(self.argument('settings'))
            )
        except border.SettingsError as error:
            self.line_error(str(error))
            return 2
        serve.serve(settings)
        return 0
