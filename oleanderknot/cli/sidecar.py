"""The ``sidecar`` command, which runs a node on a platform."""

from cleo.commands import command
from cleo.helpers import argument

from oleanderknot.cli import serve_sidecar


class SidecarCommand(command.Command):
    """Runs a node until SIGTERM, then drains and stops it."""

    name = 'sidecar'
    description = 'Run a node that a platform discovers, configures and probes'
    arguments = [
        argument(
            'settings',
            description='YAML settings file; by default the path in the '
            'variable %s' % serve_sidecar.SETTINGS_VARIABLE,
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
        return serve_sidecar.serve_sidecar(self.argument('settings'))
