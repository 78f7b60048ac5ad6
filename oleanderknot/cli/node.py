"""The ``node`` command."""

import pathlib
import sys

from cleo.commands import command
from cleo.helpers import argument

from oleanderknot import border
from oleanderknot.node import application
from oleanderknot.node import serve
from oleanderknot.tasks import peer_tls


class NodeCommand(command.Command):
    """Runs a node until SIGTERM, then drains and stops it."""

    name = 'node'
    description = 'Run a node beside an upstream'
    arguments = [argument('settings', description='YAML settings file')]
    help = """Runs a node beside an upstream and logs JSON lines to standard \
error.
SIGTERM is a planned stop: requests in flight are completed. The exit code \
is 2 if the settings are invalid.

Example:

    oleanderknot node node.yaml"""

    def handle(self) -> int:
        """Run the command."""
        try:
            settings = border.load_settings(
                pathlib.Path(self.argument('settings'))
            )
        except border.InvalidFileError as error:
            print(error, file=sys.stderr)
            return 2
        try:
            serve.serve(
                application.NodeApplication(settings=settings),
                instance=settings.instance,
                level=settings.log.level,
                stop_timeout_s=settings.drain_timeout_s,
            )
        except peer_tls.TlsError as error:
            print(error, file=sys.stderr)
            return 2
        return 0
