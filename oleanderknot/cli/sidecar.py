"""The ``sidecar`` command, which runs a node on a platform."""

import os
import pathlib
import sys

from absl import logging
from cleo.commands import command
from cleo.helpers import argument

from oleanderknot import border
from oleanderknot.node import serve
from oleanderknot.node import sidecar_application
from oleanderknot.tasks import log_stream

SETTINGS_VARIABLE = 'OLEANDERKNOT_BOOT'


class SidecarCommand(command.Command):
    """Runs a node until SIGTERM, then drains and stops it."""

    name = 'sidecar'
    description = 'Run a node that a platform discovers, configures and probes'
    arguments = [
        argument(
            'settings',
            description='YAML settings file; by default the path in the '
            'variable %s' % SETTINGS_VARIABLE,
            optional=True,
        )
    ]
    help = """Runs a node beside an upstream and logs JSON lines to standard \
output.
SIGTERM is a planned stop: requests in flight are completed. The exit code \
is 2 if the settings are invalid.

Example:

    oleanderknot sidecar sidecar.yaml"""

    def handle(self) -> int:
        """Run the command."""
        path = self.argument('settings') or os.environ.get(SETTINGS_VARIABLE)
        if not path:
            print('no settings file was given', file=sys.stderr)
            return 2
        try:
            settings = border.load_sidecar_settings(pathlib.Path(path))
        except border.InvalidFileError as error:
            print(error, file=sys.stderr)
            return 2
        node = sidecar_application.SidecarApplication(settings=settings)
        serve.serve(
            node,
            instance=settings.instance,
            level=settings.log.level,
            stop_timeout_s=settings.grace,
            reload=lambda: reload(node, pathlib.Path(path)),
            stream=log_stream.LogStream(descriptor=sys.stdout.fileno()),
        )
        return 0


def reload(
    node: sidecar_application.SidecarApplication, path: pathlib.Path
) -> None:
    """Reload the settings; if they are invalid, keep the current ones."""
    try:
        settings = border.load_sidecar_settings(path)
    except border.InvalidFileError as error:
        logging.error(
            'settings not reloaded, keeping the current ones: %s', error
        )
        return
    node.reload(settings)
